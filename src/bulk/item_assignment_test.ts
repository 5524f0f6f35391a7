import test from "ava";
import { listedEngine } from "../../testing/listed_engine.ts";
import type { ListedEngine } from "../placement/mod.ts";
import { planBulk } from "./bulk_schedule.ts";
import { assignItems } from "./item_assignment.ts";

interface ITestItem {
  readonly id: string;
  /** Version that the item needs; undefined if any will do. */
  readonly version?: string;
}

function load(id: string, softwareVersion: string, bulk = 0) {
  const engine = listedEngine(id, { softwareVersion });
  const startable = Number.POSITIVE_INFINITY;
  return { engine, live: 0, bulk, isSuspect: false, startable };
}

function assign(engines: ReturnType<typeof load>[], items: ITestItem[]) {
  const { starts } = planBulk(engines, items.length);
  const canUse = ({ version }: ITestItem, engine: ListedEngine) =>
    version === undefined || version === engine.softwareVersion;
  return assignItems({ starts, engines }, items, canUse)
    .map(({ item, engine }) => `${item.id}@${engine.id}`);
}

test("release in progress: item finds its busier old version", (t) => {
  const engines = [
    load("new-1", "v2"),
    load("new-2", "v2"),
    load("old", "v1", 5),
  ];
  t.deepEqual(assign(engines, [{ id: "a", version: "v1" }]), ["a@old"]);
  const many = ["a", "b", "c", "d"].map((id) => ({ id, version: "v1" }));
  t.deepEqual(assign(engines, many), ["a@old", "b@old", "c@old"]);
});

test("release in progress: unbound items use the remaining starts", (t) => {
  const engines = [load("new", "v2"), load("old", "v1", 7)];
  const items = [{ id: "a", version: "v1" }, { id: "b" }, { id: "c" }];
  t.deepEqual(assign(engines, items).sort(), ["a@old", "b@new", "c@new"]);
});

test("no slot beyond the plan is used for bound items", (t) => {
  const engines = [load("new", "v2", 8), load("old", "v1", 8)];
  t.deepEqual(assign(engines, [{ id: "a", version: "v1" }]), []);
});
