import test from "ava";
import { ExchangeFleet } from "../../testing/exchange_fleet.ts";
import type { Deadline } from "../common/mod.ts";
import { exchangeMethod, type ExchangeParams } from "./messages.ts";

const LEADER = { id: "leader", address: "leader", port: 1 };

/** A leader, and a function that sends it the exchange of an instance. */
function setup() {
  const fleet = new ExchangeFleet();
  const endpoint = fleet.network.connect("10.0.0.1", fleet.clock);
  const exchange = async (params: Partial<ExchangeParams>) => {
    const answer = endpoint.call(LEADER, exchangeMethod, {
      ...{ instance: "10.0.0.1", name: "entry-1", role: "entry" },
      ...{ process: "first", sequence: 1, answered: 0, live: [] },
      ...{ suspects: [], routesVersion: 0, listRevision: "" },
      ...params,
    }, { deadline: Infinity as Deadline });
    await fleet.time.advance(10);
    return (await answer)._unsafeUnwrap();
  };
  return { fleet, exchange };
}

// Guards against loads of an earlier moment that stay in force, as they do if
// the instance is cut off afterwards.
test("report that arrives after a later one replaces nothing", async (t) => {
  const { fleet, exchange } = setup();
  await exchange({ sequence: 2, live: [["one", 2]], suspects: ["two"] });
  await exchange({ sequence: 1, live: [["one", 7]], isCutOff: true });
  t.is(fleet.ledger.liveCounts().get("one"), 2);
  t.is(fleet.ledger.suspectCounts().get("two"), 1);
});

test("report of a restarted instance replaces the earlier one", async (t) => {
  const { fleet, exchange } = setup();
  await exchange({ sequence: 9, live: [["one", 2]] });
  await exchange({ process: "second", sequence: 1, live: [["one", 1]] });
  t.is(fleet.ledger.liveCounts().get("one"), 1);
  await exchange({ sequence: 10, live: [["one", 2]] });
  t.is(fleet.ledger.liveCounts().get("one"), 1);
});

/** Lets term 2 lead, then for some time term 1, in which "one" fails. */
async function leadInReverse(
  { fleet }: { fleet: ExchangeFleet },
  milliseconds: number,
) {
  const { table } = fleet.entry("entry");
  const state = fleet.leaderState!;
  fleet.leaderState = { ...state, term: 2 };
  await fleet.time.advance(500);
  fleet.leaderState = { ...state, term: 1, failing: new Set(["one"]) };
  await fleet.time.advance(milliseconds);
  return table;
}

// Guards against entries that go back to what a leader that was replaced says,
// for example release a part from quarantine that crashes engines.
test("answer of a replaced leader does not count", async (t) => {
  const table = await leadInReverse(setup(), 500);
  t.false(table.isSuspect("one"));
});

// The terms begin again if the log was lost with all of its replicas.
test("lower term counts once the leader of the higher is silent", async (t) => {
  const table = await leadInReverse(setup(), 4_000);
  t.true(table.isSuspect("one"));
});

// Guards against the load of an earlier moment after a later answer.
test("answer that arrives after a later one replaces nothing", async (t) => {
  const { fleet } = setup();
  const { table, placer } = fleet.entry("entry");
  await fleet.time.advance(200);
  const state = fleet.leaderState!;
  // The answer to the next exchange arrives after that to a placement.
  fleet.leaderState = { ...state, failing: new Set(["one"]) };
  fleet.network.answerLatencyMilliseconds = 300;
  await fleet.time.advance(100);
  fleet.network.answerLatencyMilliseconds = undefined;
  fleet.leaderState = state;
  await fleet.place(placer);
  let wasSuspect = false;
  await fleet.time.advance(500, () => {
    wasSuspect ||= table.isSuspect("one");
  });
  t.false(wasSuspect);
});

// Guards against ages that seem younger by the time for which a partition held
// up the message, so that old levels of a caller's limit replace newer ones.
test("ages count from the time of sending", async (t) => {
  const { fleet, exchange } = setup();
  fleet.callerLimit = { requestsPerSecond: 10, burst: 100 };
  const { callerLimiter } = fleet.leaderState!;
  await fleet.time.advance(1_000);
  const sentAt = fleet.time.now;
  await exchange({ sequence: 1, sentAt });
  await fleet.time.advance(1_500);
  // The leader started at time 0; the levels are 1 and 2 s older.
  await exchange({
    ...{ process: "other", instance: "10.0.0.2", sentAt: fleet.time.now },
    callerLevels: [["caller", 0.5, fleet.time.now + 1_000]],
  });
  const level = callerLimiter.levelOf("caller") ?? 0;
  await exchange({
    ...{ sequence: 2, sentAt },
    callerLevels: [["caller", 0, sentAt + 2_000]],
  });
  const later = callerLimiter.levelOf("caller") ?? 0;
  t.true(later >= level, `${later} after ${level}`);
});
