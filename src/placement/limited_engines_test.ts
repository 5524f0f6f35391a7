import test from "ava";
import { FakeNetwork } from "../../testing/fake_network.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import {
  EngineLimits,
  FleetCallerLimiter,
  FleetRateLimiter,
  ShareRateLimiter,
} from "../admission/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import { PartJudge } from "../quarantine/mod.ts";
import { RoutesHolder } from "../service_routes/mod.ts";
import { EngineHealth } from "./engine_health.ts";
import { EngineTable } from "./engine_table.ts";
import { ExchangeClient } from "./exchange_client.ts";
import { registerExchangeHandler } from "./exchange_handler.ts";
import { LeavingEngines } from "./leaving_engines.ts";
import { LoadLedger } from "./load_ledger.ts";
import { Placer } from "./placer.ts";
import { StreamOrigins } from "./stream_origins.ts";

const ENGINES = ["one", "two", "three"].map((id) => listedEngine(id));

/** Requests a second that each engine takes from all instances together. */
const LIMIT = 4;

/** Length of the window in which the platform counts requests. */
const WINDOW_MILLISECONDS = 4_000;

/** Requests that the platform tolerates in a window, at one engine. */
const TOLERATED = 1.5 * LIMIT * WINDOW_MILLISECONDS / 1_000 + 5;

/** Time after the first word of a limit from which it must be kept. */
const CONTACT_MILLISECONDS = 3_000;

/** Entries in front of engines that limit their requests. */
class Fleet {
  readonly time = new VirtualTime();
  readonly clock = new VirtualClock(this.time);
  readonly random = new TestRandom(7);
  readonly network = new FakeNetwork(this.time, this.random);
  /** Times at which each engine received requests. */
  readonly received = new Map<string, number[]>();
  refusals = 0;
  #events = new SilentEventLog();
  #limits = new EngineLimits(this.clock, { events: this.#events });
  #term = 1;
  #limiter = new FleetRateLimiter(this.clock, this.#limits);
  #entries: ReturnType<Fleet["startEntry"]>[] = [];
  #fraction = () => this.random.integer(0, 999) / 1_000;

  constructor(entries: number) {
    const { clock } = this;
    const events = this.#events;
    const leaving = new LeavingEngines(clock, { events });
    registerExchangeHandler(this.network.connect("leader", clock), {
      name: "store-1",
      judge: new PartJudge(clock, { events }),
      engineLimits: {
        merge: (reported) => this.#limits.merge(reported),
        all: () => this.#limits.all(),
      },
      clock,
      ledger: new LoadLedger(clock),
      origins: new StreamOrigins(clock),
      leaderState: () => ({
        term: this.#term,
        list: { revision: "1", engines: ENGINES },
        listAge: 0,
        failing: new Set(),
        bulk: new Map(),
        routes: undefined,
        confirmedMilliseconds: 0,
        callerLimiter: new FleetCallerLimiter(clock, () => undefined),
        leaving,
        limiter: this.#limiter,
        preemptBatchItems: () => {},
      }),
      random: this.#fraction,
    });
    for (let index = 0; index < entries; index++) {
      this.#entries.push(this.startEntry(`entry-${index}`));
    }
  }

  startEntry(name: string) {
    const { clock } = this;
    const events = this.#events;
    const endpoint = this.network.connect(name, clock);
    const leader = { id: "leader", address: "leader", port: 1 };
    const control = {
      call: (method: never, params: never, options: never) =>
        endpoint.call(leader, method, params, options),
    } as unknown as IControlClient;
    const health = new EngineHealth(clock, { events });
    const leaving = new LeavingEngines(clock, { events });
    const table = new EngineTable(clock, { events, health, leaving });
    const limits = new EngineLimits(clock, { events });
    const exchange = new ExchangeClient(control, {
      ...{ instance: name, name, role: "entry" as const },
      ...{ clock, events, table, health, engineLimits: limits },
      routes: new RoutesHolder({ events }),
      list: { read: () => Promise.resolve(ENGINES) },
      random: this.#fraction,
    });
    exchange.start();
    const placer = new Placer(exchange, table, {
      random: this.#fraction,
      limiter: new ShareRateLimiter(clock, {
        limits,
        instances: () => exchange.entries,
        random: this.#fraction,
      }),
    });
    return { table, placer, limits };
  }

  /** Another leader begins its term with what it has heard before. */
  changeLeader(): void {
    this.#term += 1;
    this.#limits = new EngineLimits(this.clock, { events: this.#events });
    this.#limiter = new FleetRateLimiter(this.clock, this.#limits);
  }

  /** Sends requests at random entries, at a rate a second, for some time. */
  async send(perSecond: number, milliseconds: number): Promise<void> {
    const end = this.time.now + milliseconds;
    while (this.time.now < end) {
      void this.#sendOne();
      await this.time.advance(1_000 / perSecond);
    }
  }

  async #sendOne(): Promise<void> {
    const position = this.random.integer(0, this.#entries.length - 1);
    const { placer, table, limits } = this.#entries[position]!;
    const placed = await placer.place({
      request: "request",
      service: "writer",
      failureDomain: "a",
      objectiveMilliseconds: 300,
      remainingMilliseconds: 5_000,
      isReturned: false,
      excluded: [],
    });
    if (placed.kind !== "engine") {
      this.refusals += 1;
      return;
    }
    const { id } = placed.engine;
    const times = this.received.get(id) ?? [];
    this.received.set(id, times);
    times.push(this.time.now);
    await this.clock.sleepUntil(this.clock.deadlineIn(20));
    limits.recordLimit(id, LIMIT);
    table.endRequest(id);
  }

  /** Largest number of requests that an engine got in a window. */
  mostInWindow(since: number): number {
    const counts = [...this.received.values()].flatMap((times) =>
      times.filter((start) => start >= since).map((start) =>
        times.filter((time) =>
          time >= start && time < start + WINDOW_MILLISECONDS
        ).length
      )
    );
    return Math.max(0, ...counts);
  }
}

test("bursts above the limits of all engines are refused at once", async (t) => {
  const fleet = new Fleet(13);
  await fleet.send(20, 2_000);
  await fleet.send(60, 10_000);
  t.true(fleet.mostInWindow(CONTACT_MILLISECONDS) <= TOLERATED);
  const total = [...fleet.received.values()].flat().length;
  t.true(total > 0.8 * ENGINES.length * LIMIT * 12, `${total} served`);
  t.true(fleet.refusals > 0);
});

test("without a leader, all entries together keep to the limits", async (t) => {
  for (const entries of [2, 13, 120]) {
    const fleet = new Fleet(entries);
    await fleet.send(40, 4_000);
    fleet.network.isolated.add("leader");
    const before = [...fleet.received.values()].flat().length;
    await fleet.send(60, 12_000);
    t.true(fleet.mostInWindow(CONTACT_MILLISECONDS) <= TOLERATED);
    t.true([...fleet.received.values()].flat().length > before);
  }
});

test("changes of the leader do not renew what the limits allow", async (t) => {
  const fleet = new Fleet(13);
  await fleet.send(40, 4_000);
  for (let change = 0; change < 8; change++) {
    fleet.changeLeader();
    await fleet.send(60, 1_000);
  }
  t.true(fleet.mostInWindow(CONTACT_MILLISECONDS) <= TOLERATED);
});
