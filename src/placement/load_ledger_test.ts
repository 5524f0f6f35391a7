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
    sequence: 1,
    answered: 0,
    live: [],
    means: [],
    suspects: [],
    routesVersion: 1,
    listRevision: "",
    ...changes,
  };
}

test("load is summed over all instances", (t) => {
  const time = new VirtualTime();
  const ledger = new LoadLedger(new VirtualClock(time));
  ledger.recordReport(report("one", { live: [["engine-1", 2]] }));
  ledger.recordReport(
    report("two", { live: [["engine-1", 1], ["engine-2", 4]] }),
  );
  ledger.recordReport(report("one", { live: [["engine-1", 3]] }));
  t.deepEqual(ledger.entries(new Map([["engine-3", 5]])), [
    ["engine-1", 4, 0],
    ["engine-2", 4, 0],
    ["engine-3", 0, 5],
  ]);
});

test("load of an instance that stops reporting is dropped", async (t) => {
  const time = new VirtualTime();
  const ledger = new LoadLedger(new VirtualClock(time));
  ledger.recordReport(
    report("one", { live: [["engine-1", 2]], suspects: ["e"] }),
  );
  await time.advance(1_600);
  t.is(ledger.liveCounts().size, 0);
  t.is(ledger.suspectCounts().size, 0);
  t.is(ledger.instances("entry").get("machine-one"), "one");
});

test("a grant is counted until a report includes it", (t) => {
  const time = new VirtualTime();
  const ledger = new LoadLedger(new VirtualClock(time));
  ledger.recordReport(report("one", { sequence: 1 }));
  ledger.recordGrant("one", "engine-1", 1);
  t.is(ledger.liveCounts().get("engine-1"), 1);
  // This report was sent before the answer with the grant arrived, so it does
  // not include the granted request.
  ledger.recordReport(report("one", { sequence: 2, answered: 0 }));
  t.is(ledger.liveCounts().get("engine-1"), 1);
  const live: [string, number][] = [["engine-1", 1]];
  ledger.recordReport(report("one", { sequence: 3, answered: 1, live }));
  t.is(ledger.liveCounts().get("engine-1"), 1);
});

test("a grant whose answer is lost expires", async (t) => {
  const time = new VirtualTime();
  const ledger = new LoadLedger(new VirtualClock(time));
  ledger.recordGrant("one", "engine-1", 1);
  await time.advance(500);
  t.is(ledger.liveCounts().size, 0);
});
