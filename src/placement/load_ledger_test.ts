import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { LoadLedger } from "./load_ledger.ts";
import type { ExchangeParams } from "./messages.ts";

function report(
  instance: string,
  changes: Partial<ExchangeParams> = {},
): ExchangeParams {
  return {
    instance,
    name: `machine-${instance}`,
    role: "entry",
    live: [],
    suspects: [],
    routesVersion: 1,
    listRevision: "",
    ...changes,
  };
}

test("load of all instances adds up", (t) => {
  const time = new VirtualTime();
  const ledger = new LoadLedger(new VirtualClock(time));
  ledger.record(report("one", { live: [["engine-1", 2]] }));
  ledger.record(report("two", { live: [["engine-1", 1], ["engine-2", 4]] }));
  ledger.record(report("one", { live: [["engine-1", 3]] }));
  t.deepEqual(ledger.entries(new Map([["engine-3", 5]])), [
    ["engine-1", 4, 0],
    ["engine-2", 4, 0],
    ["engine-3", 0, 5],
  ]);
});

test("load of a silent instance is forgotten", async (t) => {
  const time = new VirtualTime();
  const ledger = new LoadLedger(new VirtualClock(time));
  ledger.record(report("one", { live: [["engine-1", 2]], suspects: ["e"] }));
  await time.pass(1_600);
  t.is(ledger.live().size, 0);
  t.is(ledger.suspicions().size, 0);
  t.is(ledger.instances("entry").get("machine-one"), "one");
});
