import { err, ok } from "neverthrow";
import { match } from "ts-pattern";
import {
  DisposableStore,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { EngineLimits, IEngineRateLimiter } from "../admission/mod.ts";
import type { PartJudge } from "../quarantine/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import type { RouteSet } from "../service_routes/mod.ts";
import type { LeavingEngines } from "./leaving_engines.ts";
import type { LoadLedger } from "./load_ledger.ts";
import {
  type EngineList,
  exchangeMethod,
  type ExchangeParams,
  findStreamMethod,
  type PlacementDecision,
  type PlacementRequest,
} from "./messages.ts";
import { place } from "./placement.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import {
  type IEngineView,
  INITIAL_MEAN_MILLISECONDS,
  type ListedEngine,
} from "./types.ts";

/** Exchanges with all instances that the leader allows in one second. */
const EXCHANGES_PER_SECOND = 400;

/** Lower bound of the interval between two exchanges of an instance. */
const MINIMUM_INTERVAL_MILLISECONDS = 80;

const MILLISECONDS_PER_SECOND = 1_000;

/** State of the leader that exchanges are answered from. */
export interface ILeaderState {
  readonly term: number;
  readonly list: EngineList;
  /** Age of the list in milliseconds. */
  readonly listAge: number;
  /** Engines that fail their health checks. */
  readonly failing: ReadonlySet<string>;
  /** Batch items by engine. */
  readonly bulk: ReadonlyMap<string, number>;
  readonly routes: RouteSet | undefined;
  /** Engines that have announced to the leader that they leave. */
  readonly leaving: Pick<LeavingEngines, "withAnnouncement">;
  /** Admits requests within the limits that engines name. */
  readonly limiter: IEngineRateLimiter;
  /** Stops batch items at an engine if its live requests need the slots. */
  preemptBatchItems(load: { engine: ListedEngine; live: number }): void;
}

/** Dependencies of the exchange handler. */
export interface IExchangeHandlerOptions {
  /** Name of this machine. */
  readonly name: string;
  readonly clock: IClock;
  readonly ledger: LoadLedger;
  /** Streams that instances have reported. */
  readonly origins: Pick<StreamOrigins, "find" | "record">;
  readonly judge: Pick<PartJudge, "receive" | "findNews">;
  readonly engineLimits: Pick<EngineLimits, "merge" | "all">;
  /** Returns undefined on an instance that does not lead. */
  readonly leaderState: () => ILeaderState | undefined;
  /** Source of random numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** Registers the handlers of instances' calls; only the leader answers them. */
export function registerExchangeHandler(
  server: IRpcServer,
  options: IExchangeHandlerOptions,
): IDisposable {
  const { ledger, origins, judge, leaderState, name, clock } = options;
  const { engineLimits } = options;
  const disposables = new DisposableStore();
  disposables.add(server.handle(findStreamMethod, ({ request }) => {
    if (!leaderState()) return Promise.resolve(err(notLeader()));
    const origin = origins.find(request);
    return Promise.resolve(ok({
      origin: origin && {
        service: origin.service,
        softwareVersion: origin.softwareVersion,
      },
    }));
  }));
  disposables.add(server.handle(exchangeMethod, (params) => {
    const state = leaderState();
    if (!state) return Promise.resolve(err(notLeader()));
    const { streams, parts, engineLimits: limits, ...report } = params;
    ledger.recordReport(report);
    for (const [request, service, softwareVersion, lifetime] of streams ?? []) {
      const expiresAt = clock.deadlineIn(lifetime);
      origins.record({ request, service, softwareVersion, expiresAt });
    }
    engineLimits.merge(limits ?? []);
    const grant = params.want && placeRequest(params, params.want, {
      ...options,
      state,
    });
    const { list, routes } = state;
    const hasList = list.revision !== "";
    const isNewList = hasList && list.revision !== params.listRevision;
    const isNewRoutes = routes && routes.version > params.routesVersion;
    return Promise.resolve(ok({
      leader: name,
      term: state.term,
      wall: clock.wall(),
      load: params.want ? undefined : ledger.entries(state.bulk),
      engineLimits: params.want ? undefined : engineLimits.all(),
      entries: ledger.entryCount(),
      suspects: [...state.failing],
      listAge: state.listAge,
      list: isNewList ? list : undefined,
      routes: isNewRoutes ? routes : undefined,
      parts: parts ? judge.receive(params.instance, parts) : judge.findNews(),
      relays: params.isCutOff
        ? ledger.relays({ asking: params.instance, random: options.random() })
        : undefined,
      grant,
      pauseMilliseconds: exchangeInterval(ledger.entryCount()),
    }));
  }));
  return disposables;
}

function notLeader() {
  return notRun("not-leader", "this instance is not the leader");
}

/**
 * Interval in milliseconds at which the exchanges of all instances stay within
 * the rate that the leader allows.
 */
export function exchangeInterval(instances: number): number {
  const interval = instances * MILLISECONDS_PER_SECOND / EXCHANGES_PER_SECOND;
  return Math.max(MINIMUM_INTERVAL_MILLISECONDS, interval);
}

/** Places a request by the load of the whole fleet and records the grant. */
function placeRequest(
  params: ExchangeParams,
  request: PlacementRequest,
  options: IExchangeHandlerOptions & { state: ILeaderState },
): PlacementDecision {
  const { ledger, state, random } = options;
  const live = ledger.liveCounts();
  const meanDurations = ledger.meanDurations();
  const suspects = new Set([...state.failing, ...params.suspects]);
  const views: IEngineView[] = state.list.engines
    .filter(({ service }) => service === request.service)
    .map((engine) => ({
      engine: state.leaving.withAnnouncement(engine),
      live: live.get(engine.id) ?? 0,
      bulk: state.bulk.get(engine.id) ?? 0,
      isSuspect: suspects.has(engine.id),
      meanMilliseconds: meanDurations.get(engine.id) ??
        INITIAL_MEAN_MILLISECONDS,
    }));
  const excluded = new Set(request.excluded);
  const { limiter } = state;
  const placement = place(
    { ...request, excluded, random: random(), limiter },
    views,
  );
  return match(placement)
    .with({ kind: "engine" }, ({ view, waitMilliseconds }) => {
      const { engine, live } = view;
      ledger.recordGrant(params.instance, engine.id, params.sequence);
      limiter.take(engine.id);
      state.preemptBatchItems({ engine, live: live + 1 });
      return {
        kind: "engine" as const,
        engine: view.engine.id,
        live: view.live,
        bulk: view.bulk,
        waitMilliseconds,
      };
    })
    .otherwise((refusal) => refusal);
}
