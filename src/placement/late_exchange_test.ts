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
