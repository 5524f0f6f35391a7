import {
  CallerActivity,
  CallerUse,
  EngineLimits,
  FleetCallerLimiter,
} from "../src/admission/mod.ts";
import type { IControlClient } from "../src/consensus/mod.ts";
import { SilentEventLog } from "../src/events/mod.ts";
import {
  EngineHealth,
  EngineTable,
  ExchangeClient,
  type ILeaderState,
  type IRelayingSources,
  LeavingEngines,
  LoadLedger,
  Placer,
  registerExchangeHandler,
  StreamOrigins,
} from "../src/placement/mod.ts";
import type { PlacementRequest } from "../src/placement/messages.ts";
import { PartJudge } from "../src/quarantine/mod.ts";
import { type CallerLimit, RoutesHolder } from "../src/service_routes/mod.ts";
import { FakeNetwork } from "./fake_network.ts";
import { listedEngine } from "./listed_engine.ts";
import { TestRandom } from "./test_random.ts";
import { unlimitedEngines } from "./unlimited_engines.ts";
import { VirtualClock, VirtualTime } from "./virtual_clock.ts";

export const ENGINES = ["one", "two"].map((id) => listedEngine(id));

/** A leader and entry instances that exchange load with it. */
export class ExchangeFleet {
  readonly time = new VirtualTime();
  readonly clock = new VirtualClock(this.time);
  readonly network = new FakeNetwork(this.time, new TestRandom(1));
  readonly ledger = new LoadLedger(this.clock);
  readonly bulk = new Map<string, number>();
  readonly preemptedEngines: string[] = [];
  listReads = 0;
  /** Limit of all callers; undefined if they have none. */
  callerLimit: CallerLimit | undefined;
  /** Streams that the leader knows. */
  origins = new StreamOrigins(this.clock);
  leaderState: ILeaderState | undefined = {
    term: 1,
    list: { revision: "1", engines: ENGINES },
    listAge: 0,
    failing: new Set(),
    bulk: this.bulk,
    routes: undefined,
    confirmedMilliseconds: 0,
    callerLimiter: new FleetCallerLimiter(this.clock, () => this.callerLimit),
    leaving: new LeavingEngines(this.clock, { events: new SilentEventLog() }),
    limiter: unlimitedEngines,
    preemptBatchItems: ({ engine }) => this.preemptedEngines.push(engine.id),
  };

  constructor() {
    registerExchangeHandler(this.network.connect("leader", this.clock), {
      name: "store-1",
      judge: new PartJudge(this.clock, { events: new SilentEventLog() }),
      engineLimits: new EngineLimits(this.clock, {
        events: new SilentEventLog(),
      }),
      clock: this.clock,
      ledger: this.ledger,
      origins: {
        find: (request) => this.origins.find(request),
        record: (origin) => this.origins.record(origin),
      },
      leaderState: () => this.leaderState,
      random: () => 0,
    });
  }

  /** Starts an entry instance. */
  entry(name: string, relaying?: IRelayingSources) {
    const { clock } = this;
    const events = new SilentEventLog();
    const endpoint = this.network.connect(name, clock);
    const leader = { id: "leader", address: "leader", port: 1 };
    const control = {
      call: (method: never, params: never, options: never) =>
        endpoint.call(leader, method, params, options),
    } as unknown as IControlClient;
    const health = new EngineHealth(clock, { events });
    const leaving = new LeavingEngines(clock, { events });
    const table = new EngineTable(clock, { events, health, leaving });
    const origins = new StreamOrigins(clock);
    const activity = new CallerActivity(0);
    const exchange = new ExchangeClient(control, {
      ...{ instance: name, name, role: "entry" as const },
      ...{ clock, events, table, health, origins },
      engineLimits: new EngineLimits(clock, { events }),
      routes: new RoutesHolder({ events }),
      list: {
        read: () => {
          this.listReads += 1;
          return Promise.resolve(ENGINES);
        },
      },
      random: () => 0,
      callers: activity,
      ...(relaying ? { relaying } : {}),
    });
    exchange.start();
    const placer = new Placer(exchange, table, {
      random: () => 0,
      limiter: unlimitedEngines,
      callers: {
        activity,
        use: new CallerUse(clock, { instances: () => 1, random: () => 0 }),
        limitOf: () => this.callerLimit,
        version: () => 1,
      },
    });
    return { table, placer, exchange, origins, leaving, activity };
  }

  /** Places a request and advances the clock until it is answered. */
  async place(placer: Placer, changes: Partial<PlacementRequest> = {}) {
    const placed = placer.place({
      request: "request",
      service: "writer",
      failureDomain: "a",
      objectiveMilliseconds: 300,
      remainingMilliseconds: 5_000,
      isReturned: false,
      excluded: [],
      ...changes,
    });
    await this.time.advance(100);
    return await placed;
  }
}
