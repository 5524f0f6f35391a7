import { createHash, randomUUID } from "node:crypto";
import type {
  CallerActivity,
  CallerLevel,
  CallerUse,
  EngineLimits,
} from "../admission/mod.ts";
import type { IClock, IDisposable } from "../common/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { PartMonitor } from "../quarantine/mod.ts";
import type { ILinkState, RelayDirectory } from "../relaying/mod.ts";
import type {
  IRoutesConfirmer,
  KeyPermission,
  RoutesHolder,
} from "../service_routes/mod.ts";
import { ClockOffsetMonitor } from "./clock_offset_monitor.ts";
import type { EngineHealth } from "./engine_health.ts";
import type { EngineTable } from "./engine_table.ts";
import {
  engineListUnreadable,
  leaderReached,
  leaderUnreachable,
} from "./events.ts";
import {
  ABILITIES,
  type EngineList,
  exchangeMethod,
  findStreamMethod,
  type PlacementDecision,
  type PlacementRequest,
  type ReportedStream,
} from "./messages.ts";
import type { IStreamOrigin, StreamOrigins } from "./stream_origins.ts";
import type { IEngineListSource, ListedEngine } from "./types.ts";

/** Interval between exchanges until the leader sends another interval. */
const INITIAL_INTERVAL_MILLISECONDS = 100;

/** Longest wait for an exchange that confirms the routes, in milliseconds. */
const CONFIRM_TIMEOUT_MILLISECONDS = 300;

/** Interval at which the age of the engine list is checked. */
const LIST_AGE_CHECK_INTERVAL_MILLISECONDS = 200;

/** Maximum time that a request waits for its placement by the leader. */
const PLACEMENT_TIMEOUT_MILLISECONDS = 60;

/** Longest wait for the origin of a stream, in milliseconds. */
const FIND_STREAM_TIMEOUT_MILLISECONDS = 200;

/**
 * Time since the last answer of a leader for which answers of earlier terms are
 * ignored, in milliseconds. Terms begin again if all replicas of the log are
 * lost, with their leader.
 */
const LEADER_LIFETIME_MILLISECONDS = 3_000;

/** Timeout of a periodic exchange. */
const EXCHANGE_TIMEOUT_MILLISECONDS = 500;

/** Age of the list at which this instance reads it from the platform. */
const STALE_LIST_MILLISECONDS = 1_600;

/** Random addition to that age, so that instances do not all read at once. */
const STALE_JITTER_MILLISECONDS = 800;

/** Timeout for reading the platform's engine list. */
const LIST_READ_TIMEOUT_MILLISECONDS = 1_000;

/** What an instance reports and receives about forwarding. */
export interface IRelayingSources {
  readonly links: Pick<ILinkState, "isCutOff">;
  readonly relays: Pick<RelayDirectory, "update">;
  /** Port for requests of other instances; undefined to receive none. */
  readonly port: () => number | undefined;
}

/** Identity of the instance, and dependencies of the client. */
export interface IExchangeClientOptions {
  readonly instance: string;
  readonly name: string;
  readonly role: "entry" | "store";
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly table: EngineTable;
  readonly health: EngineHealth;
  readonly routes: RoutesHolder;
  readonly list: IEngineListSource;
  readonly engineLimits: EngineLimits;
  /** Streams that this instance reports; absent on stores. */
  readonly origins?: StreamOrigins;
  /** Prompt parts that this instance reports; absent on stores. */
  readonly parts?: PartMonitor;
  /** Forwarding between instances; absent on stores. */
  readonly relaying?: IRelayingSources;
  /** Requests of callers with keys; absent on stores. */
  readonly callers?: CallerActivity;
  /** What the leader says about callers' limits; absent on stores. */
  readonly callerUse?: Pick<CallerUse, "levels">;
  /** Is told when the leader confirms the routes; absent on stores. */
  readonly permission?: KeyPermission;
  /** Source of random numbers from 0 up to, not including, 1. */
  readonly random: () => number;
  /**
   * Interval between two exchanges, in milliseconds, for instances that report
   * rarely; by default the leader sets it.
   */
  readonly pauseMilliseconds?: number;
}

/** Hash of a list of engines, independent of their order. */
export function revisionOf(engines: readonly ListedEngine[]): string {
  const lines = engines.map((engine) => JSON.stringify(engine)).sort();
  return createHash("sha1").update(lines.join("\n")).digest("base64");
}

/**
 * Sends this instance's load to the leader periodically, and receives the
 * fleet's load, engine list and routes.
 */
export class ExchangeClient implements IRoutesConfirmer, IDisposable {
  #control: IControlClient;
  #options: IExchangeClientOptions;
  #stopping = new AbortController();
  #interval = INITIAL_INTERVAL_MILLISECONDS;
  readonly #process = randomUUID();
  #sequence = 0;
  #lastAnswered = 0;
  #lastAnswerAt: number;
  #leaderTerm = 0;
  /** Sequence number of the latest exchange that this leader has answered. */
  #latestOfLeader = 0;
  #isLeaderReachable = true;
  #listAgeLimit: number;
  #entries: number | undefined;
  #confirmation: Promise<unknown> | undefined;
  /** Levels to tell a new leader, by which it has not been answered yet. */
  #callerLevels: CallerLevel[] | undefined;
  #clockOffset: ClockOffsetMonitor;

  constructor(control: IControlClient, options: IExchangeClientOptions) {
    this.#control = control;
    this.#options = options;
    this.#lastAnswerAt = options.clock.monotonic();
    this.#listAgeLimit = STALE_LIST_MILLISECONDS;
    this.#clockOffset = new ClockOffsetMonitor(options.clock, options);
  }

  /** Time since the leader last answered, in milliseconds. */
  get contactAge(): number {
    return this.#options.clock.monotonic() - this.#lastAnswerAt;
  }

  /** Number of entries as last heard from the leader. */
  get entries(): number | undefined {
    return this.#entries;
  }

  start(): void {
    void this.#run();
    if (this.#options.role === "entry") void this.#refreshStaleList();
  }

  dispose(): void {
    this.#stopping.abort();
  }

  /**
   * Asks the leader to place a request. Resolves with undefined when it does
   * not answer in time, or at once if the last exchange failed. A granted
   * request counts as begun in the engine table from then on.
   */
  async requestPlacement(
    request: PlacementRequest,
  ): Promise<PlacementDecision | undefined> {
    if (!this.#isLeaderReachable) return undefined;
    return await this.#exchange(PLACEMENT_TIMEOUT_MILLISECONDS, request);
  }

  /** Exchanges at once; calls at the same time share the exchange. */
  async confirmRoutes(): Promise<void> {
    this.#confirmation ??= this.#exchange(CONFIRM_TIMEOUT_MILLISECONDS)
      .finally(() => this.#confirmation = undefined);
    await this.#confirmation;
  }

  /**
   * Asks the leader where a stream began. Resolves with undefined if it does
   * not know or answer.
   */
  async findOrigin(
    request: string,
  ): Promise<Pick<IStreamOrigin, "service" | "softwareVersion"> | undefined> {
    const deadline = this.#options.clock.deadlineIn(
      FIND_STREAM_TIMEOUT_MILLISECONDS,
    );
    const params = { request };
    const answer = await this.#control.call(findStreamMethod, params, {
      deadline,
    });
    return answer.isOk() ? answer.value.origin : undefined;
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#stopping.signal.aborted) {
      const interval = this.#options.pauseMilliseconds ?? this.#interval;
      const next = clock.deadlineIn(interval);
      await this.#exchange(EXCHANGE_TIMEOUT_MILLISECONDS);
      await clock.sleepUntil(next, this.#stopping.signal);
    }
  }

  async #exchange(
    timeout: number,
    want?: PlacementRequest,
  ): Promise<PlacementDecision | undefined> {
    const { clock, table, health, routes, origins, parts } = this.#options;
    const { instance, name, role, engineLimits, relaying } = this.#options;
    const { callers, permission } = this.#options;
    const reported = table.ownLiveCounts();
    this.#sequence += 1;
    const sequence = this.#sequence;
    const sentAt = clock.wall();
    const startedAt = clock.monotonic();
    const question = permission?.ask();
    const streams = origins?.unreported(this.#leaderTerm) ?? [];
    const report = parts?.report(this.#leaderTerm);
    const limits = engineLimits.unreported(this.#leaderTerm);
    const { revision } = table;
    const means = want ? undefined : table.unreportedMeans(this.#leaderTerm);
    const callersInProgress = callers?.inProgress() ?? [];
    const callerUse = callers?.report();
    const callerLevels = this.#callerLevels;
    const answer = await this.#control.call(exchangeMethod, {
      ...{ instance, name, role, sequence, want },
      ...{ process: this.#process, sentAt: startedAt },
      abilities: [...ABILITIES],
      answered: this.#lastAnswered,
      live: [...reported],
      liveTokens: table.ownLiveTokens(),
      means,
      readsShortLoad: true,
      callers: callersInProgress.length > 0 ? callersInProgress : undefined,
      callerUse,
      callerLevels,
      suspects: health.suspects(),
      streams: streams.map((
        { request, service, softwareVersion, expiresAt },
      ): ReportedStream => [
        request,
        service,
        softwareVersion,
        Math.round(clock.remaining(expiresAt)),
      ]),
      engineLimits: limits.length > 0 ? limits : undefined,
      parts: report?.message,
      routesVersion: routes.version,
      listRevision: revision,
      relayPort: relaying?.port(),
      isCutOff: relaying?.links.isCutOff || undefined,
    }, { deadline: clock.deadlineIn(timeout) });
    if (answer.isErr()) {
      this.#recordFailure(answer.error.message);
      return undefined;
    }
    const { load, shortLoad, suspects, list, grant, term } = answer.value;
    if (answer.value.routes) routes.setIfNewer(answer.value.routes);
    if (this.#isReplaced(term)) {
      this.#recordFailure(`the leader of term ${term} has been replaced`);
      return undefined;
    }
    this.#recordSuccess();
    this.#clockOffset.recordResponse(answer.value, sentAt);
    // Answers on different connections can overtake each other.
    const isLatest = term !== this.#leaderTerm ||
      sequence > this.#latestOfLeader;
    if (isLatest) this.#latestOfLeader = sequence;
    // The levels of the earlier leader, before the new one admits requests.
    if (term !== this.#leaderTerm) {
      this.#callerLevels = this.#options.callerUse?.levels();
    } else if (callerLevels === this.#callerLevels) {
      this.#callerLevels = undefined;
    }
    this.#leaderTerm = term;
    origins?.markReported(streams, term);
    if (callerUse) callers?.confirm(callerUse);
    engineLimits.markReported(limits, term);
    engineLimits.merge(answer.value.engineLimits ?? [], term);
    parts?.recordLeaderContact();
    if (isLatest) {
      const { entries, relays, parts: verdicts } = answer.value;
      this.#entries = entries ?? this.#entries;
      if (relays) relaying?.relays.update(relays);
      if (verdicts) parts?.applyVerdicts(verdicts, { term, report });
      this.#interval = answer.value.pauseMilliseconds;
    }
    const { confirmedMilliseconds, routesVersion } = answer.value;
    const isNewest = routes.version >= (routesVersion ?? Infinity);
    if (question && isNewest && confirmedMilliseconds !== undefined) {
      permission?.confirm(question, confirmedMilliseconds);
    }
    table.updateFromLeader({
      ...{ term, revision, list },
      requestedAt: startedAt,
      listAge: answer.value.listAge,
      soleVersions: answer.value.soleVersions ?? [],
    });
    if (isLatest) {
      if (load) table.updateLoad(load, reported);
      // The short form refers to the list that the leader was told.
      if (shortLoad && table.revision === revision) {
        table.updateShortLoad(shortLoad, reported);
      }
      health.setLeaderSuspects(suspects);
    }
    if (means) table.markMeansReported(means, term);
    this.#lastAnswered = Math.max(this.#lastAnswered, sequence);
    if (grant?.kind !== "engine") return grant;
    // A new leader may not have heard yet that the engine names a limit.
    if (!engineLimits.isKnownToLeader(grant.engine, term)) {
      const { caller, isAdmitted } = want ?? {};
      if (caller !== undefined && !isAdmitted) callers?.recordUnserved(caller);
      return undefined;
    }
    table.beginRequest(grant.engine, want?.tokens);
    return grant;
  }

  /** Whether a leader of a later term has answered of late. */
  #isReplaced(term: number): boolean {
    // Leaders of earlier versions do not name their terms.
    const isEarlier = term !== 0 && term < this.#leaderTerm;
    return isEarlier && this.contactAge < LEADER_LIFETIME_MILLISECONDS;
  }

  #recordSuccess(): void {
    const { clock, events } = this.#options;
    const now = clock.monotonic();
    if (!this.#isLeaderReachable) {
      const silenceMilliseconds = Math.round(now - this.#lastAnswerAt);
      events.emit(leaderReached, { silenceMilliseconds });
    }
    this.#isLeaderReachable = true;
    this.#lastAnswerAt = now;
  }

  #recordFailure(reason: string): void {
    if (this.#isLeaderReachable) {
      this.#options.events.emit(leaderUnreachable, { reason });
    }
    this.#isLeaderReachable = false;
  }

  /** Reads the platform's list when the leader does not confirm it in time. */
  async #refreshStaleList(): Promise<void> {
    const { clock, table, random } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await clock.sleepUntil(
        clock.deadlineIn(LIST_AGE_CHECK_INTERVAL_MILLISECONDS),
        signal,
      );
      if (table.listAge < this.#listAgeLimit || signal.aborted) continue;
      this.#listAgeLimit = STALE_LIST_MILLISECONDS +
        random() * STALE_JITTER_MILLISECONDS;
      await this.#readList();
    }
  }

  async #readList(): Promise<void> {
    const { list, table, events, clock } = this.#options;
    try {
      const timeout = AbortSignal.timeout(LIST_READ_TIMEOUT_MILLISECONDS);
      const requestedAt = clock.monotonic();
      const engines = await list.read(timeout);
      const content: EngineList = {
        revision: revisionOf(engines),
        engines: [...engines],
      };
      const age = clock.monotonic() - requestedAt;
      table.updateList(content, { age, source: "platform" });
    } catch (error) {
      events.emit(engineListUnreadable, {
        reason: (error as Error).message,
        ageMilliseconds: Math.round(Math.min(table.listAge, 1e9)),
      });
      // The instances together may exceed the platform's rate limit, so wait
      // longer before the next read.
      const pause = STALE_LIST_MILLISECONDS / 2;
      await clock.sleepUntil(
        clock.deadlineIn(pause),
        this.#stopping.signal,
      );
    }
  }
}
