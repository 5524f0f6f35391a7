import {
  type BulkSection,
  WAITING_TOKENS_PATH,
  type WaitingTokenLimiter,
} from "../bulk/mod.ts";
import { DisposableStore, type IDisposable } from "../common/mod.ts";
import {
  CALLER_LIMITS_PATH,
  type CallerLimitUsage,
  type EngineLimits,
} from "../admission/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import { logLinesLeftOut } from "../edge/events.ts";
import {
  type HttpEdge,
  MetricsListener,
  type OutputBudget,
} from "../edge/mod.ts";
import type { IEventLog, JsonLineLog } from "../events/mod.ts";
import {
  defineProcessMetrics,
  type IHistogram,
  Metrics,
  MetricsEventLog,
} from "../metrics/mod.ts";
import {
  describeEngines,
  ENGINE_STATES_PATH,
  type EngineTable,
  type ExchangeClient,
  type LeavingEngines,
} from "../placement/mod.ts";
import type { ILinkState } from "../relaying/mod.ts";
import type { IRpcStatistics } from "../rpc/mod.ts";
import type { KeyPermission, RoutesHolder } from "../service_routes/mod.ts";

/** Port of the metrics; deploy/system.toml specifies it as well. */
const METRICS_PORT = 9_464;

/** Most callers with series of their own; the others count together. */
const MAXIMUM_LABELLED_CALLERS = 50;

/** Label of the callers without series of their own. */
const OTHER_CALLERS = "others";

/** Event log and metrics of a process. */
export class Telemetry implements IDisposable {
  readonly metrics = new Metrics();
  /** Counts events in the metrics, then writes them to the log. */
  readonly events: IEventLog;
  #pages = new Map<string, () => unknown>();
  #store = new DisposableStore();

  constructor(log: JsonLineLog) {
    this.events = new MetricsEventLog(log, this.metrics);
    this.#store.add(defineProcessMetrics(this.metrics));
    this.#store.add(
      log.onLinesDropped(({ name, lines }) =>
        this.events.emit(logLinesLeftOut, { of: name, lines })
      ),
    );
    this.metrics.gauge(
      "figroad_log_lines_left_out",
      "Log lines left out since the start, for their number or a slow reader.",
      () => [{ value: log.droppedLines }],
    );
    this.metrics.gauge(
      "figroad_log_queue_bytes",
      "Log lines that wait for their reader, in bytes.",
      () => [{ value: log.queuedBytes }],
    );
  }

  /** Defines metrics of the process's view of the fleet. */
  defineFleetMetrics(table: EngineTable, routes: RoutesHolder): void {
    this.metrics.gauge(
      "figroad_routes_version",
      "Version of the routes in force on this instance.",
      () => [{ value: routes.version }],
    );
    this.metrics.gauge(
      "figroad_engine_list_age_milliseconds",
      "Age of the list of engines.",
      () => [{ value: Math.round(Math.min(table.listAge, 1e9)) }],
    );
    this.metrics.gauge(
      "figroad_own_live_requests",
      "Live requests of this instance that engines run.",
      () => [{
        value: [...table.ownLiveCounts().values()].reduce(
          (sum, count) => sum + count,
          0,
        ),
      }],
    );
  }

  /** Defines metrics and a page with what engines say of themselves. */
  defineEngineStates(
    instance: string,
    sources: {
      table: EngineTable;
      leaving: LeavingEngines;
      engineLimits: EngineLimits;
    },
  ): void {
    const { engineLimits } = sources;
    this.metrics.gauge(
      "figroad_engines_with_limit",
      "Engines that limit the requests they take from all instances.",
      () => [{ value: engineLimits.count }],
    );
    this.#pages.set(
      ENGINE_STATES_PATH,
      () => describeEngines(instance, sources),
    );
  }

  /** Defines metrics of the exchange with the leader. */
  defineExchangeMetrics(exchange: ExchangeClient): void {
    this.metrics.gauge(
      "figroad_leader_contact_age_milliseconds",
      "Time since the leader last confirmed load, routes and engines.",
      () => [{ value: Math.round(exchange.contactAge) }],
    );
  }

  /** Defines a metric of this instance's own links to the engines. */
  defineLinkMetrics(links: ILinkState): void {
    this.metrics.gauge(
      "figroad_engine_links_lost",
      "1 while this instance can open a connection to no engine, else 0.",
      () => [{ value: links.isCutOff ? 1 : 0 }],
    );
  }

  /** Defines metrics of open requests. */
  defineEdgeMetrics(edge: HttpEdge): void {
    this.metrics.gauge(
      "figroad_open_requests",
      "Requests that are being answered.",
      () => [{ value: edge.openRequests }],
    );
  }

  /** Defines metrics of batch items; the leader also reports running ones. */
  defineJobMetrics(
    section: BulkSection,
    running: () => number | undefined,
  ): void {
    this.metrics.gauge(
      "figroad_bulk_items",
      "Items of all jobs by state; running ones on the leader only.",
      () =>
        Object.entries({ ...section.counts(), running: running() })
          .flatMap(([state, value]) =>
            value === undefined ? [] : [{ value, labels: { state } }]
          ),
    );
  }

  /** Defines metrics and a page with the limits of waiting tokens. */
  defineWaitingTokenMetrics(
    limiter: WaitingTokenLimiter,
    replica: { instance: string; log: IReplicatedLog },
  ): void {
    this.metrics.gauge(
      "figroad_bulk_tokens",
      "Tokens of batch items without a result, and their limit, by route.",
      () =>
        limiter.usage().slice(0, MAXIMUM_LABELLED_CALLERS).flatMap((usage) => {
          const { route, caller, waitingTokens, limit } = usage;
          const labels: Record<string, string> = { route };
          if (caller !== undefined) labels.caller = caller;
          return [
            { value: waitingTokens, labels: { ...labels, kind: "waiting" } },
            { value: limit, labels: { ...labels, kind: "limit" } },
          ];
        }),
    );
    const { instance, log } = replica;
    this.#pages.set(WAITING_TOKENS_PATH, () => ({
      instance,
      isLeader: log.leadership.isLeader,
      routes: limiter.usage(),
    }));
  }

  /** Defines metrics and a page with callers' limits, on the leader. */
  defineCallerLimitMetrics(
    instance: string,
    usage: () => CallerLimitUsage[] | undefined,
  ): void {
    this.metrics.gauge(
      "figroad_caller_requests",
      "Requests of callers with a limit since the leader began to lead.",
      () => {
        const busiestFirst = (usage() ?? []).sort((first, second) =>
          second.admitted + second.refused - first.admitted - first.refused
        );
        const labelled = busiestFirst.slice(0, MAXIMUM_LABELLED_CALLERS);
        const others = busiestFirst.slice(MAXIMUM_LABELLED_CALLERS);
        const sum = (outcome: "admitted" | "refused") =>
          others.reduce((total, it) => total + it[outcome], 0);
        const counts = [...labelled, {
          caller: OTHER_CALLERS,
          admitted: sum("admitted"),
          refused: sum("refused"),
        }];
        return counts.flatMap(({ caller, admitted, refused }) => [
          { value: admitted, labels: { caller, outcome: "admitted" } },
          { value: refused, labels: { caller, outcome: "refused" } },
        ]);
      },
    );
    this.#pages.set(CALLER_LIMITS_PATH, () => ({
      instance,
      isLeader: usage() !== undefined,
      callers: usage() ?? [],
    }));
  }

  /** Defines metrics of the bytes held for slow readers. */
  defineOutputMetrics(budget: OutputBudget): void {
    this.metrics.gauge(
      "figroad_held_output",
      "Responses that hold bytes for a slow reader, and those bytes.",
      () => [
        { value: budget.holders, labels: { kind: "responses" } },
        { value: budget.totalBytes, labels: { kind: "bytes" } },
      ],
    );
  }

  /** Defines a metric of how current the keys are that this entry knows. */
  defineKeyMetrics(permission: KeyPermission): void {
    this.metrics.gauge(
      "figroad_key_permission_age_milliseconds",
      "Time since the leader confirmed the callers' keys known here.",
      () => {
        const { ageMilliseconds } = permission;
        return ageMilliseconds === undefined
          ? []
          : [{ value: ageMilliseconds }];
      },
    );
  }

  /** Durations of syncs of the replicated log's files. */
  get syncTimes(): IHistogram {
    return this.metrics.histogram(
      "figroad_sync_milliseconds",
      "Times of the syncs of the log's files.",
    );
  }

  /** Defines metrics of this replica of the log. */
  defineLogMetrics(log: IReplicatedLog): void {
    this.metrics.gauge(
      "figroad_log",
      "State of this replica of the log.",
      () => {
        const { role, term, lastIndex, commitIndex, appliedIndex } = log
          .status();
        return [
          { value: role === "leader" ? 1 : 0, labels: { kind: "leader" } },
          { value: term, labels: { kind: "term" } },
          { value: lastIndex, labels: { kind: "last" } },
          { value: commitIndex, labels: { kind: "committed" } },
          { value: appliedIndex, labels: { kind: "applied" } },
        ];
      },
    );
  }

  /** Defines metrics of RPC to other instances. */
  defineRpcMetrics(statistics: IRpcStatistics): void {
    this.metrics.gauge(
      "figroad_rpc",
      "Calls, connections and bytes to other instances since the start.",
      () =>
        Object.entries(statistics).map(([kind, value]) => ({
          value,
          labels: { kind },
        })),
    );
  }

  /** Starts to serve the metrics over HTTP. */
  async listen(address: string): Promise<void> {
    const listener = this.#store.add(
      new MetricsListener(this.metrics, this.#pages),
    );
    await listener.listen(address, METRICS_PORT);
  }

  dispose(): void {
    this.#store.dispose();
  }
}
