import test from "ava";
import { MessageOrder } from "./message_order.ts";

test("message that arrives after a later one replaces nothing", (t) => {
  const order = new MessageOrder();
  t.true(order.record("one", { process: "a", sequence: 1 }));
  t.true(order.record("one", { process: "a", sequence: 3 }));
  t.false(order.record("one", { process: "a", sequence: 2 }));
  t.false(order.record("one", { process: "a", sequence: 3 }));
  t.true(order.record("two", { process: "b", sequence: 1 }));
});

// A clock that was set back must not make a restarted sender look old.
test("messages of a new process replace those of the earlier one", (t) => {
  const order = new MessageOrder();
  t.true(order.record("one", { process: "a", sequence: 9 }));
  t.true(order.record("one", { process: "b", sequence: 1 }));
  t.false(order.record("one", { process: "a", sequence: 10 }));
  t.true(order.record("one", { process: "b", sequence: 2 }));
});
