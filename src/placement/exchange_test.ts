import test from "ava";
import { ENGINES, ExchangeFleet } from "../../testing/exchange_fleet.ts";
import { ENGINE_SLOTS } from "../../testing/listed_engine.ts";
import type { Deadline } from "../common/mod.ts";
import type { Relay } from "../relaying/mod.ts";
import { exchangeInterval } from "./exchange_handler.ts";
import { StreamOrigins } from "./stream_origins.ts";

test("requests spread over engines before loads are exchanged", async (t) => {
  const fleet = new ExchangeFleet();
  const entries = Array.from(
    { length: 8 },
    (_, index) => fleet.entry(`entry-${index}`),
  );
  await fleet.time.advance(200);
  // All at once, so that no entry has received the load of another.
  const placements = await Promise.all(
    entries.map(({ placer }) => fleet.place(placer)),
  );
  const engines = placements.map((placement) =>
    placement.kind === "engine" ? placement.engine.id : placement.kind
  );
  t.is(engines.filter((id) => id === "one").length, 4);
  t.is(engines.filter((id) => id === "two").length, 4);
});

test("grant on an engine full of batch preempts a batch item", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer } = fleet.entry("entry");
  await fleet.time.advance(200);
  for (const { id } of ENGINES) fleet.bulk.set(id, ENGINE_SLOTS);
  const placement = await fleet.place(placer);
  t.is(placement.kind, "engine");
  t.is(fleet.preemptedEngines.length, 1);
});

// Guards against live requests at slots whose items go on in a partition.
test("request avoids slots whose items do not stop", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer } = fleet.entry("entry");
  await fleet.time.advance(200);
  const overdueStops = new Map([["one", ENGINE_SLOTS]]);
  fleet.leaderState = { ...fleet.leaderState!, overdueStops };
  for (let count = 0; count < 3; count++) {
    const placement = await fleet.place(placer);
    t.is(placement.kind === "engine" && placement.engine.id, "two");
  }
});

test("the leader learns of ended requests within two exchanges", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer, table } = fleet.entry("entry");
  await fleet.time.advance(200);
  const placement = await fleet.place(placer);
  const id = placement.kind === "engine" ? placement.engine.id : "";
  await fleet.time.advance(1_000);
  t.is(fleet.ledger.liveCounts().get(id), 1);
  table.endRequest(id);
  await fleet.time.advance(200);
  t.is(fleet.ledger.liveCounts().size, 0);
});

test("no leader: entry process places requests, lists engines", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer, table } = fleet.entry("entry");
  await fleet.time.advance(200);
  fleet.network.isolated.add("leader");
  await fleet.time.advance(3_000);
  t.true(fleet.listReads > 0);
  const placement = await fleet.place(placer);
  t.like(placement, { kind: "engine", chosenBy: "instance" });
  t.is(table.ownLiveCounts().size, 1);
});

test("frozen leader: only the first request waits for it", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer } = fleet.entry("entry");
  await fleet.time.advance(200);
  fleet.network.isolated.add("leader");
  const begunAt = fleet.time.now;
  t.like(await fleet.place(placer), { chosenBy: "instance" });
  const second = placer.place({
    request: "second",
    service: "writer",
    failureDomain: "a",
    objectiveMilliseconds: 300,
    remainingMilliseconds: 5_000,
    isReturned: false,
    excluded: [],
  });
  await fleet.time.advance(0);
  t.like(await second, { chosenBy: "instance" });
  t.true(fleet.time.now - begunAt <= 100);
});

test("exchange interval grows with the number of entry processes", (t) => {
  t.is(exchangeInterval(13), 80);
  t.is(exchangeInterval(98), 245);
  t.is(exchangeInterval(360), 900);
});

const ORIGIN = { service: "writer", softwareVersion: "v1" };

function begin(origins: StreamOrigins, request: string): void {
  const expiresAt = 60_000 as Deadline;
  origins.record({ request, ...ORIGIN, expiresAt });
}

test("leader knows where streams of other entries began", async (t) => {
  const fleet = new ExchangeFleet();
  const first = fleet.entry("entry-1");
  const second = fleet.entry("entry-2");
  begin(first.origins, "stream");
  await fleet.time.advance(200);
  fleet.network.isolated.add("entry-1");
  const known = second.exchange.findOrigin("stream");
  const unknown = second.exchange.findOrigin("other");
  await fleet.time.advance(100);
  t.deepEqual(await known, ORIGIN);
  t.is(await unknown, undefined);
});

test("a new leader receives the streams that began before", async (t) => {
  const fleet = new ExchangeFleet();
  const { origins, exchange } = fleet.entry("entry");
  begin(origins, "stream");
  await fleet.time.advance(500);
  fleet.origins = new StreamOrigins(fleet.clock);
  fleet.leaderState = { ...fleet.leaderState!, term: 2 };
  await fleet.time.advance(500);
  t.like(fleet.origins.find("stream"), ORIGIN);
  fleet.network.isolated.add("leader");
  const unanswered = exchange.findOrigin("stream");
  await fleet.time.advance(1_000);
  t.is(await unanswered, undefined);
});

// Guards against streams that cannot be resumed for a while after all entries
// have been restarted, although the leader knows their version (rejoined).
test("leader tells a new entry since when there is one version", async (t) => {
  const fleet = new ExchangeFleet();
  const { service, softwareVersion } = fleet.leaderState!.list.engines[0]!;
  const report = [service, softwareVersion, 60_000] as const;
  fleet.leaderState = { ...fleet.leaderState!, soleVersions: [report] };
  const { table } = fleet.entry("entry");
  await fleet.time.advance(500);
  t.is(table.soleVersion(service, 15_000), softwareVersion);
  t.is(table.soleVersion(service, 70_000), undefined);
  const other = [service, "v9", 60_000] as const;
  fleet.leaderState = { ...fleet.leaderState!, soleVersions: [other] };
  const second = fleet.entry("second");
  await fleet.time.advance(500);
  t.is(second.table.soleVersion(service, 15_000), undefined);
  // What the leader knew does not hold after a time without any list.
  fleet.network.isolated.add("leader");
  await fleet.time.advance(3_000);
  table.confirmListAge(0);
  t.is(table.soleVersion(service, 15_000), undefined);
});

// Guards against streams with events of two software versions (inc-defd).
test("engine granted at another software version is not used", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer, table } = fleet.entry("entry");
  await fleet.time.advance(200);
  // A leader of an earlier version of figroad ignores the software version.
  const list = fleet.leaderState!.list;
  fleet.leaderState = {
    ...fleet.leaderState!,
    list: {
      ...list,
      engines: list.engines.map((it) => ({ ...it, softwareVersion: "v2" })),
    },
  };
  const placement = await fleet.place(placer, { softwareVersion: "v2" });
  t.is(placement.kind, "no-engine");
  t.is(table.ownLiveCounts().size, 0);
});

// Guards against requests to engines that have announced that they leave.
test("engine that announced to one entry gets no grant there", async (t) => {
  const fleet = new ExchangeFleet();
  const first = fleet.entry("entry-1");
  const second = fleet.entry("entry-2");
  await fleet.time.advance(200);
  first.leaving.announce("one", "answer");
  for (let count = 0; count < 4; count++) {
    const placed = await fleet.place(first.placer);
    t.is(placed.kind === "engine" ? placed.engine.id : placed.kind, "two");
  }
  const elsewhere = await fleet.place(second.placer);
  t.is(elsewhere.kind === "engine" ? elsewhere.engine.id : "", "one");
});

// Guards against requests to engines that have announced that they leave.
test("no leader and no list: an announcement still holds", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer, leaving } = fleet.entry("entry");
  await fleet.time.advance(200);
  fleet.network.isolated.add("leader");
  leaving.announce("one", "answer");
  for (let count = 0; count < 4; count++) {
    const placed = await fleet.place(placer);
    t.is(placed.kind === "engine" ? placed.engine.id : placed.kind, "two");
  }
  leaving.announce("two", "answer");
  t.is((await fleet.place(placer)).kind, "no-engine");
});

test("entry without links learns which entries forward requests", async (t) => {
  const fleet = new ExchangeFleet();
  const named: Relay[][] = [];
  const start = (name: string, port: number | undefined, isCutOff = false) => {
    const links = { isCutOff };
    const relays = {
      update: (list: readonly Relay[]) => named.push([...list]),
    };
    fleet.entry(name, { links, relays, port: () => port });
    return links;
  };
  const links = start("one", 7_720);
  start("two", 7_720);
  start("also-without-links", 7_720, true);
  start("stopping", undefined);
  await fleet.time.advance(500);
  named.length = 0;
  links.isCutOff = true;
  await fleet.time.advance(500);
  t.deepEqual(named.at(-1), [{ address: "two", port: 7_720 }]);
});

test("caller over its limit is refused, and others are placed", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer } = fleet.entry("entry");
  await fleet.time.advance(200);
  fleet.callerLimit = { requestsPerSecond: 1, burst: 2 };
  const kinds = [];
  for (let count = 0; count < 3; count++) {
    const placed = await fleet.place(placer, { caller: "hot" });
    kinds.push(placed.kind === "refused" ? placed.missing : placed.kind);
  }
  t.deepEqual(kinds, ["engine", "engine", "caller-limit"]);
  t.is((await fleet.place(placer, { caller: "other" })).kind, "engine");
  const again = { caller: "hot", isAdmitted: true };
  t.is((await fleet.place(placer, again)).kind, "engine", "further attempt");
});

test("entry without a leader keeps to the limit of each caller", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer, activity } = fleet.entry("entry");
  await fleet.time.advance(200);
  const limit = { requestsPerSecond: 5, burst: 5 };
  fleet.callerLimit = limit;
  await fleet.place(placer, { caller: "hot" });
  await fleet.place(placer, { caller: "hot" });
  fleet.network.isolated.add("leader");
  const kinds = [];
  for (let count = 0; count < 40; count++) {
    kinds.push((await fleet.place(placer, { caller: "hot" })).kind);
  }
  const admitted = kinds.filter((kind) => kind === "engine").length;
  const allowed = 4 * limit.requestsPerSecond + limit.burst;
  t.true(admitted >= limit.burst && admitted <= allowed, `${admitted} in 4 s`);
  fleet.network.isolated.delete("leader");
  await fleet.time.advance(600);
  t.is(activity.report(), undefined, "the leader knows all of them");
  const [usage] = fleet.leaderState!.callerLimiter.usage();
  t.is(usage?.available, 0, "and counts them");
});

// All slots are in use, most of them by one caller.
test("callers below their share wait for a slot, others do not", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer, activity } = fleet.entry("entry");
  await fleet.time.advance(200);
  for (let count = 0; count < 2 * ENGINE_SLOTS; count++) {
    const caller = count < 12 ? "hot" : "other";
    await fleet.place(placer, { caller });
    activity.begin(caller);
  }
  await fleet.time.advance(200);
  t.like(await fleet.place(placer, { caller: "hot" }), { missing: "share" });
  t.is((await fleet.place(placer, { caller: "other" })).kind, "engine");
  t.is((await fleet.place(placer, { caller: "quiet" })).kind, "engine");
});

// One caller sends many times its limit through all entries: asking the leader
// for each request would overload it.
test("hot caller: few of its refused requests reach the leader", async (t) => {
  const fleet = new ExchangeFleet();
  const { placer } = fleet.entry("entry");
  await fleet.time.advance(200);
  fleet.callerLimit = { requestsPerSecond: 2, burst: 2 };
  let admitted = 0;
  for (let count = 0; count < 50; count++) {
    const placed = await fleet.place(placer, { caller: "hot" });
    if (placed.kind === "engine") admitted += 1;
  }
  const [usage] = fleet.leaderState!.callerLimiter.usage();
  t.true(admitted >= 8, `${admitted} of 2 a second for 5 s, and 2 at once`);
  t.true(usage!.refused <= 12, `${usage!.refused} of 50 asked the leader`);
});
