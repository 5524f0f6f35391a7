import { Buffer } from "node:buffer";
import { SystemClock } from "../src/common/mod.ts";
import { SilentEventLog } from "../src/events/mod.ts";
import {
  EngineHealth,
  EngineTable,
  type IPlacementSource,
  LeavingEngines,
  Placer,
  StreamOrigins,
} from "../src/placement/mod.ts";
import { PartMonitor } from "../src/quarantine/mod.ts";
import type { Route } from "../src/service_routes/mod.ts";
import type { IForwardedRequest } from "../src/streams/mod.ts";
import { StreamAttempt } from "../src/streams/stream_attempt.ts";
import { StreamDispatcher } from "../src/streams/stream_dispatcher.ts";
import { StreamOriginResolver } from "../src/streams/stream_origin_resolver.ts";
import {
  type EngineScript,
  eventText,
  FakeEngines,
  FakeSink,
} from "./fake_engines.ts";
import { listedEngine } from "./listed_engine.ts";
import { unlimitedEngines } from "./unlimited_engines.ts";

/** Number of events in a whole stream. */
export const EVENTS = 6;

/** Whole stream as callers receive it. */
export const WHOLE_STREAM = Array.from(
  { length: EVENTS },
  (_, index) => eventText(index + 1),
)
  .join("");

/** Stream that another engine may continue. */
export const RESUMABLE_ROUTE: Route = {
  name: "alerts",
  host: "alerts.example",
  pathPrefix: "/alerts/",
  kind: "stream",
  timeoutMilliseconds: 5_000,
  objectiveMilliseconds: 300,
  priority: 0,
  shares: [{ service: "writer", weight: 1 }],
  attempts: 2,
  isResumable: true,
};

/** A dispatcher with scripted engines. */
export interface IDispatcherSetup {
  readonly clock: SystemClock;
  readonly engines: FakeEngines;
  readonly table: EngineTable;
  readonly health: EngineHealth;
  readonly sink: FakeSink;
  readonly parts: PartMonitor;
  readonly origins: StreamOrigins;
  readonly dispatcher: StreamDispatcher;
  readonly source: IPlacementSource;
  run(route: Route, changes?: Partial<IForwardedRequest>): Promise<void>;
}

/**
 * Creates a dispatcher for the engines of a service.
 *
 * @param scripts answers of the engines in the order of the requests.
 * @param versions software versions of engines by id; others run `v1`.
 * @param options.isCutOff whether this instance has lost its own links.
 * @param options.hasPath whether requests reach engines all the same.
 * @param options.memoryTokens memory of each engine.
 */
export function setUpDispatcher(
  scripts: EngineScript[],
  ids = ["one", "two", "three"],
  versions: Record<string, string> = {},
  options: {
    isCutOff?: boolean;
    hasPath?: boolean;
    memoryTokens?: number;
  } = {},
): IDispatcherSetup {
  const clock = new SystemClock();
  const events = new SilentEventLog();
  const health = new EngineHealth(clock, { events });
  const leaving = new LeavingEngines(clock, { events });
  const table = new EngineTable(clock, {
    ...{ events, health, leaving },
    memoryOf: () => options.memoryTokens,
  });
  const list = {
    revision: "1",
    engines: ids.map((id) =>
      listedEngine(id, { softwareVersion: versions[id] ?? "v1" })
    ),
  };
  table.updateList(list, { age: 0, source: "leader" });
  const origins = new StreamOrigins(clock);
  const engines = new FakeEngines(scripts);
  const sink = new FakeSink();
  const parts = new PartMonitor(clock, { events });
  const source: IPlacementSource = {
    requestPlacement: () => Promise.resolve(undefined),
  };
  const dispatcher = new StreamDispatcher({
    ...{ table, health, clock, events, origins },
    parts,
    paths: {
      hasPath: options.hasPath ?? true,
      checkLinks: () => Promise.resolve(options.isCutOff ?? false),
    },
    resolver: new StreamOriginResolver({
      ...{ origins, table, clock },
      leader: { findOrigin: () => Promise.resolve(undefined) },
    }),
    attempt: new StreamAttempt(engines, clock),
    failureDomain: "a",
    random: () => 0,
    placer: new Placer(
      source,
      table,
      { random: () => 0, limiter: unlimitedEngines },
    ),
  });
  const run = (route: Route, changes: Partial<IForwardedRequest> = {}) =>
    dispatcher.dispatch({
      id: "request-1",
      method: "POST",
      path: "/alerts/1",
      headers: [],
      body: Buffer.alloc(0),
      route,
      deadline: clock.deadlineIn(5_000),
      routeDeadline: clock.deadlineIn(5_000),
      isReturned: false,
      promptParts: [],
      contentIds: [],
      lastEventId: undefined,
      resumedRequest: undefined,
      ...changes,
    }, sink);
  return {
    ...{ clock, engines, table, health, sink, parts, origins },
    ...{ dispatcher, source, run },
  };
}
