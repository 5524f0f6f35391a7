import test from "ava";
import { listedEngine } from "../../testing/listed_engine.ts";
import type { ListedEngine } from "../placement/mod.ts";
import { planBulk } from "./bulk_schedule.ts";
import { assignItems, type IEligibility } from "./item_assignment.ts";

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

/** Counts the decisions that an assignment asks for. */
class TestEligibility implements IEligibility<ITestItem> {
  decisions = 0;

  mayUse({ version }: ITestItem, engine: ListedEngine): boolean {
    this.decisions += 1;
    return version === undefined || version === engine.softwareVersion;
  }

  groupOf({ version }: ITestItem): unknown {
    return version;
  }

  engineGroupOf({ softwareVersion }: ListedEngine): unknown {
    return softwareVersion;
  }
}

function assign(engines: ReturnType<typeof load>[], items: ITestItem[]) {
  const { starts } = planBulk(engines, items.length);
  return assignItems({ starts, engines }, items, new TestEligibility())
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

// Guards against a leader that spends its time on plans while a release leaves
// free slots only at engines that most waiting items cannot use (denied-short).
test("release in progress: a plan does not compare all items with all engines", (t) => {
  const engines = [
    ...Array.from({ length: 80 }, (_, index) => load(`new-${index}`, "v2")),
    load("old", "v1", 8),
  ];
  const items = Array.from({ length: 600 }, (_, index) => ({
    ...{ id: `item-${index}`, version: "v1" },
  }));
  const { starts } = planBulk(engines, items.length);
  const eligibility = new TestEligibility();
  t.deepEqual(assignItems({ starts, engines }, items, eligibility), []);
  t.true(eligibility.decisions <= items.length + engines.length);
});
