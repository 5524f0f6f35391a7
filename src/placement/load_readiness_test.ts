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

test("new leader is ready 250 ms after an entry instance reports", (t) => {
  const clock = new FakeClock();
  const ledger = new LoadLedger(clock);
  report(ledger, "entry", 1);
  clock.advance(100);
  const readiness = new LoadReadiness(ledger, clock);
  t.false(readiness.isReady, "reports from the previous term do not count");
  clock.advance(100);
  report(ledger, "store", 1);
  t.false(
    readiness.isReady,
    "reports from stores do not count: stores place no live requests",
  );
  report(ledger, "entry", 2);
  t.false(readiness.isReady, "the other entries have not reported yet");
  clock.advance(250);
  t.true(readiness.isReady);
});

test("without entry instances, a new leader is ready after 2 s", (t) => {
  const clock = new FakeClock();
  const readiness = new LoadReadiness(new LoadLedger(clock), clock);
  clock.advance(1_900);
  t.false(readiness.isReady);
  clock.advance(100);
  t.true(readiness.isReady);
});
