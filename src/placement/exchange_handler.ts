import { err, ok } from "neverthrow";
import { match } from "ts-pattern";
import {
  DisposableStore,
  type IClock,
  type IDisposable,
  MessageOrder,
  notRun,
} from "../common/mod.ts";
import {
  type EngineLimits,
  exceedsFairShare,
  type FleetCallerLimiter,
  type IEngineRateLimiter,
} from "../admission/mod.ts";
import type { PartJudge, PartReport } from "../quarantine/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import type { RouteTable } from "../service_routes/mod.ts";
import type { IEngineChooser } from "./engine_chooser.ts";
import type { LeavingEngines } from "./leaving_engines.ts";
import type { LoadLedger } from "./load_ledger.ts";
import {
  type EngineList,
  exchangeMethod,
  type ExchangeParams,
  findStreamMethod,
  type LoadEntry,
  type PlacementDecision,
  type PlacementRequest,
} from "./messages.ts";
import { place } from "./placement.ts";
import type { SoleVersionReport } from "./sole_versions.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import { TransitDelays } from "./transit_delays.ts";
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

/** Live load of an engine for which batch items may have to give way. */
export interface IPreemptingLoad {
  readonly engine: ListedEngine;
  readonly live: number;
  /** Tokens that the live requests may fill. */
  readonly liveTokens: number;
  /** Tokens that the engine's memory holds; undefined if not known. */
  readonly memoryTokens: number | undefined;
}

/** State of the leader that exchanges are answered from. */
export interface ILeaderState {
  readonly term: number;
  readonly list: EngineList;
  /** Age of the list in milliseconds. */
  readonly listAge: number;
  /** Engines that fail their health checks. */
  readonly failing: ReadonlySet<string>;
  /** Services that have one software version only, and for how long. */
  readonly soleVersions?: readonly SoleVersionReport[];
  /** Batch items by engine. */
  readonly bulk: ReadonlyMap<string, number>;
  /**
   * Batch items by engine that were told to stop in vain. They are not counted
   * in `bulk`, as preemption cannot free their slots.
   */
  readonly overdueStops?: ReadonlyMap<string, number>;
  readonly routes: RouteTable | undefined;
  /** Time since the routes were the newest; undefined if not certain. */
  readonly confirmedMilliseconds: number | undefined;
  /** Keeps callers within their limits of requests. */
  readonly callerLimiter: FleetCallerLimiter;
  /** Engines that have announced to the leader that they leave. */
  readonly leaving: Pick<LeavingEngines, "withAnnouncement">;
  /** Admits requests within the limits that engines name. */
  readonly limiter: IEngineRateLimiter;
  /** Stops batch items at an engine if its live requests need the slots. */
  preemptBatchItems(load: IPreemptingLoad): void;
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
  /** By default, the least loaded engine is chosen. */
  readonly chooser?: IEngineChooser | undefined;
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
  const order = new MessageOrder();
  const delays = new TransitDelays(clock);
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
    const { streams, parts, engineLimits: limits, ...others } = params;
    const { callerUse, callerLevels, ...report } = others;
    const { instance, process, sequence, sentAt } = params;
    const isLatest = process === undefined ||
      order.record(instance, { process, sequence });
    if (isLatest) ledger.recordReport(report);
    const delay = process === undefined || sentAt === undefined
      ? 0
      : delays.estimate(instance, { process, sentAt });
    if (callerLevels) {
      state.callerLimiter.restore(agedBy(callerLevels, delay));
    }
    if (callerUse) state.callerLimiter.settle(instance, callerUse, process);
    for (const [request, service, softwareVersion, lifetime] of streams ?? []) {
      const expiresAt = clock.deadlineIn(lifetime - delay);
      origins.record({ request, service, softwareVersion, expiresAt });
    }
    engineLimits.merge(agedBy(limits ?? [], delay));
    const grant = params.want && placeRequest(params, params.want, {
      ...options,
      state,
    });
    const { list, routes } = state;
    const hasSameList = list.revision === params.listRevision;
    const isShort = hasSameList && params.readsShortLoad === true;
    const load = params.want ? undefined : ledger.entries(state.bulk);
    const hasList = list.revision !== "";
    const isNewList = hasList && !hasSameList;
    // A version without callers would serve requests without their keys.
    // Routes are large, and a request that is being placed would wait for them.
    const isNewRoutes = routes && !params.want &&
      routes.version > params.routesVersion &&
      (!routes.requiresKeys || params.abilities?.includes("callers"));
    return Promise.resolve(ok({
      leader: name,
      term: state.term,
      wall: clock.wall(),
      load: isShort ? undefined : load,
      shortLoad: isShort && load ? shortLoad(list, load) : undefined,
      engineLimits: params.want ? undefined : engineLimits.all(),
      entries: ledger.entryCount(),
      suspects: [...state.failing],
      soleVersions: params.want || !state.soleVersions
        ? undefined
        : state.soleVersions.map((report) => [...report]),
      listAge: state.listAge,
      list: isNewList ? list : undefined,
      routes: isNewRoutes ? routes.setForEntries : undefined,
      routesVersion: routes?.version,
      confirmedMilliseconds: state.confirmedMilliseconds,
      // Without an answer, the instance reports its parts again.
      parts: parts
        ? isLatest
          ? judge.receive(instance, agedReport(parts, delay))
          : undefined
        : judge.findNews(),
      relays: params.isCutOff
        ? ledger.relays({ asking: instance, random: options.random() })
        : undefined,
      grant,
      pauseMilliseconds: exchangeInterval(ledger.entryCount()),
    }));
  }));
  return disposables;
}

/** Adds a delay to the ages that come last in the reports. */
function agedBy<V>(
  reports: readonly [string, V, number][],
  delay: number,
): [string, V, number][] {
  return reports.map(([subject, value, age]) => [subject, value, age + delay]);
}

/** Corrects the ages in a report on prompt parts by its delay. */
function agedReport(report: PartReport, delay: number): PartReport {
  return {
    ...report,
    brokenRuns: report.brokenRuns.map((run) => ({
      ...run,
      ageMilliseconds: run.ageMilliseconds + delay,
    })),
    clearedParts: report.clearedParts.map(([part, age]) => [part, age + delay]),
    quarantined: report.quarantined?.map(([part, remaining]) => [
      part,
      Math.max(0, remaining - delay),
    ]),
  };
}

/** The load in the order of the list of engines. */
function shortLoad(list: EngineList, load: readonly LoadEntry[]): number[] {
  const byEngine = new Map(load.map((entry) => [entry[0], entry]));
  return list.engines.flatMap(({ id }) => {
    const [, live, bulk] = byEngine.get(id) ?? [id, 0, 0];
    return [live, bulk];
  });
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
  const { ledger, state, random, chooser } = options;
  const { callerLimiter } = state;
  const { caller } = request;
  const isLimited = caller !== undefined && !request.isAdmitted;
  if (isLimited && !callerLimiter.mayAdmit(caller)) {
    const retryMilliseconds = callerLimiter.refuse(caller);
    return { kind: "refused", retryMilliseconds, missing: "caller-limit" };
  }
  const live = ledger.liveCounts();
  const liveTokens = ledger.liveTokens();
  const memoryTokens = state.routes?.service(request.service)?.memoryTokens;
  const meanDurations = ledger.meanDurations();
  const suspects = new Set([...state.failing, ...params.suspects]);
  const views: IEngineView[] = state.list.engines
    .filter(({ service }) => service === request.service)
    .map((engine) => ({
      engine: state.leaving.withAnnouncement(engine),
      live: (live.get(engine.id) ?? 0) +
        (state.overdueStops?.get(engine.id) ?? 0),
      bulk: state.bulk.get(engine.id) ?? 0,
      liveTokens: liveTokens.get(engine.id) ?? 0,
      memoryTokens,
      isSuspect: suspects.has(engine.id),
      meanMilliseconds: meanDurations.get(engine.id) ??
        INITIAL_MEAN_MILLISECONDS,
    }));
  const excluded = new Set(request.excluded);
  const { limiter } = state;
  // A further attempt is counted among its caller's requests already.
  const isOverShare = caller !== undefined && !request.isAdmitted &&
    isBeyondShare(caller, { views, ledger, routes: state.routes });
  const placement = place(
    { ...request, excluded, random: random(), limiter, isOverShare, chooser },
    views,
  );
  return match(placement)
    .with({ kind: "engine" }, ({ view, waitMilliseconds }) => {
      const { engine, live } = view;
      const { instance, sequence } = params;
      const { tokens = 0 } = request;
      const grant = { instance, sequence, caller, tokens, engine: engine.id };
      ledger.recordGrant(grant);
      if (isLimited) callerLimiter.take(caller);
      limiter.take(engine.id);
      state.preemptBatchItems({
        engine,
        live: live + 1,
        liveTokens: (view.liveTokens ?? 0) + tokens,
        memoryTokens,
      });
      return {
        kind: "engine" as const,
        engine: view.engine.id,
        live: view.live,
        bulk: view.bulk,
        waitMilliseconds,
        callerLevel: caller === undefined
          ? undefined
          : callerLimiter.levelOf(caller),
      };
    })
    .otherwise((refusal) => refusal);
}

/** Whether a caller uses its share of the service's slots already. */
function isBeyondShare(
  caller: string,
  options: {
    views: readonly IEngineView[];
    ledger: LoadLedger;
    routes: RouteTable | undefined;
  },
): boolean {
  const { views, ledger, routes } = options;
  const usable = views.filter(({ engine, isSuspect }) =>
    !engine.isLeaving && !isSuspect
  );
  const slots = usable.reduce((sum, { engine }) => sum + engine.slots, 0);
  const live = usable.reduce((sum, view) => sum + view.live, 0);
  if (live < slots) return false;
  const demand = (name: string, inProgress: number) => ({
    inProgress,
    weight: routes?.weightOf(name) ?? 1,
  });
  const counts = ledger.callerCounts();
  const others = [...counts]
    .filter(([name]) => name !== caller)
    .map(([name, count]) => demand(name, count));
  const asking = demand(caller, counts.get(caller) ?? 0);
  return exceedsFairShare(asking, others, slots);
}
