import test from "ava";
import { ByteBudget } from "./byte_budget.ts";

test("bytes beyond the maximum wait for released ones, in order", async (t) => {
  const budget = new ByteBudget(10);
  const order: string[] = [];
  const take = (name: string, bytes: number) =>
    budget.take(bytes).then(() => order.push(name));
  await take("a", 6);
  const waiting = [take("b", 6), take("c", 1)];
  await Promise.resolve();
  t.deepEqual(order, ["a"]);
  t.false(budget.tryTake(6));
  budget.release(6);
  await Promise.all(waiting);
  t.deepEqual(order, ["a", "b", "c"]);
});

test("more than the maximum is granted to one alone", (t) => {
  const budget = new ByteBudget(10);
  t.true(budget.tryTake(30));
  t.false(budget.tryTake(1));
  budget.release(30);
  t.true(budget.tryTake(1));
});
