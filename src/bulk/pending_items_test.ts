import test from "ava";
import fc from "fast-check";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { BulkSection } from "./bulk_section.ts";
import { PendingItems } from "./pending_items.ts";

const ITEMS = ["a", "b", "c", "d"];

const CONTEXT = { index: 1, term: 1, proposedAt: 0 };

function createPendingItems() {
  const time = new VirtualTime();
  const section = new BulkSection();
  const items = ITEMS.map((id) => ({
    id,
    path: "/",
    headers: {},
    body: "",
    tokens: 100,
  }));
  const job = { id: "job", host: "h", path: "/", items };
  section.apply({ kind: "submit", job }, CONTEXT);
  const table = new PendingItems(section, new VirtualClock(time));
  table.addJob(section.job("job")!, 18_000);
  return { time, section, table };
}

test("load of an engine counts its runs except those being stopped", (t) => {
  const action = fc.record({
    kind: fc.constantFrom("begin", "stop", "end"),
    item: fc.nat({ max: ITEMS.length - 1 }),
    engine: fc.constantFrom("one", "two"),
  });
  fc.assert(
    fc.property(fc.array(action, { maxLength: 40 }), (actions) => {
      const { table } = createPendingItems();
      const all = [...table.all];
      for (const { kind, item, engine } of actions) {
        const entry = all[item]!;
        if (kind === "begin" && !entry.activeRun) table.begin(entry, engine);
        if (kind === "stop") table.stop(entry);
        if (kind === "end") table.end(entry);
      }
      for (const engine of ["one", "two"]) {
        const running = all.filter(({ activeRun }) =>
          activeRun?.engine === engine && !activeRun.isStopping
        );
        if ((table.load.get(engine) ?? 0) !== running.length) return false;
      }
      return true;
    }),
    { seed: 7, numRuns: 300 },
  );
  t.pass();
});

test("items of an ended job stop and are not started again", (t) => {
  const { section, table } = createPendingItems();
  const [first] = [...table.all];
  const { abort } = table.begin(first!, "one");
  section.apply({ kind: "end", job: "job" }, CONTEXT);
  table.removeFinished("job");
  t.true(abort.signal.aborted);
  t.is(table.load.size, 0);
  t.is(table.startable({ wall: 0, monotonic: 0 }).length, 0);
});

test("removes an item with a result and keeps the others", (t) => {
  const { section, table } = createPendingItems();
  const result = { item: "b", state: "done" as const, from: 0, data: [] };
  section.apply({ kind: "record", job: "job", ...result }, CONTEXT);
  table.removeFinished("job");
  const left = table.startable({ wall: 0, monotonic: 0 });
  t.deepEqual(left.map(({ item }) => item.id), ["a", "c", "d"]);
});

test("adding a job twice has no effect", (t) => {
  const { section, table } = createPendingItems();
  table.addJob(section.job("job")!, 18_000);
  t.is([...table.all].length, ITEMS.length);
});

// Guards against live requests and items at a slot whose run could not be told
// to stop.
test("run that does not end after its stop still holds its slot", async (t) => {
  const { time, table } = createPendingItems();
  const [first, second] = [...table.all];
  table.begin(first!, "one");
  table.begin(second!, "one");
  table.stop(first!);
  t.is(table.overdueStops().size, 0, "the order to stop is on its way");
  await time.advance(200);
  t.deepEqual([...table.overdueStops()], [["one", 1]]);
  table.end(first!);
  t.is(table.overdueStops().size, 0);
});
