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

/** Grants an instance a request at an engine. */
function recordGrant(ledger: LoadLedger, caller?: string): void {
  const grant = { instance: "one", engine: "engine-1", sequence: 1 };
  ledger.recordGrant({ ...grant, caller, tokens: 0 });
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
  recordGrant(ledger);
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
  recordGrant(ledger);
  await time.advance(500);
  t.is(ledger.liveCounts().size, 0);
});

test("requests are counted by caller, grants included", async (t) => {
  const time = new VirtualTime();
  const ledger = new LoadLedger(new VirtualClock(time));
  ledger.recordReport(report("two", { callers: [["a", 2], ["b", 1]] }));
  recordGrant(ledger, "a");
  t.deepEqual([...ledger.callerCounts()], [["a", 3], ["b", 1]]);
  ledger.recordReport(report("one", { answered: 1, callers: [["a", 1]] }));
  t.is(ledger.callerCounts().get("a"), 3, "the report includes the grant");
  ledger.recordReport(report("two", { callers: [["b", 1]] }));
  t.deepEqual([...ledger.callerCounts()], [["a", 1], ["b", 1]]);
  await time.advance(1_600);
  t.is(ledger.callerCounts().size, 0);
});

test("tokens are counted by engine, grants included", (t) => {
  const ledger = new LoadLedger(new VirtualClock(new VirtualTime()));
  ledger.recordReport(report("two", { liveTokens: [["engine-1", 500]] }));
  const grant = { instance: "one", engine: "engine-1", sequence: 1 };
  ledger.recordGrant({ ...grant, caller: undefined, tokens: 300 });
  t.is(ledger.liveTokens().get("engine-1"), 800);
  ledger.recordReport(report("one", { answered: 1 }));
  t.is(ledger.liveTokens().get("engine-1"), 500);
  ledger.recordReport(report("two"));
  t.is(ledger.liveTokens().size, 0);
});
