import test from "ava";
import { FakeClock } from "../../testing/fake_clock.ts";
import { LoadLedger } from "./load_ledger.ts";
import { LoadReadiness } from "./load_readiness.ts";

function report(ledger: LoadLedger, role: "entry" | "store", sequence: number) {
  ledger.recordReport({
    ...{ instance: `${role}-1`, name: `${role}-1`, role, sequence },
    ...{ answered: 0, live: [], suspects: [] },
    ...{ routesVersion: 0, listRevision: "" },
  });
}

test("new lead in a burst: settled once the entries have reported", (t) => {
  const clock = new FakeClock();
  const ledger = new LoadLedger(clock);
  report(ledger, "entry", 1);
  clock.advance(100);
  const readiness = new LoadReadiness(ledger, clock);
  t.false(readiness.isReady, "a report of the term before says nothing");
  clock.advance(100);
  report(ledger, "store", 1);
  t.false(readiness.isReady, "stores place no live requests");
  report(ledger, "entry", 2);
  t.false(readiness.isReady, "the other entries have not reported yet");
  clock.advance(250);
  t.true(readiness.isReady);
});

test("no entry at all: batch items do not wait for ever", (t) => {
  const clock = new FakeClock();
  const readiness = new LoadReadiness(new LoadLedger(clock), clock);
  clock.advance(1_900);
  t.false(readiness.isReady);
  clock.advance(100);
  t.true(readiness.isReady);
});
