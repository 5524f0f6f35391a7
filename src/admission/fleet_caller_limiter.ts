import type { Deadline, IClock } from "../common/mod.ts";
import type { CallerLimit } from "../service_routes/mod.ts";
import type { CallerLimitUsage } from "./caller_limit_report.ts";
import type { CallerLevel, CallerUseReport } from "./messages.ts";
import { TokenBucket } from "./token_bucket.ts";

/**
 * Tokens of a caller when an instance begins to lead. Until instances pass on
 * the reports of the previous leader, the bucket must not start full.
 */
const INITIAL_TOKENS = 10;

/** Time in which reports about the time without a leader arrive, in ms. */
const FIRST_REPORTS_MILLISECONDS = 2_000;

/** Longest time after which a refused caller is told to return, in ms. */
const MAXIMUM_RETRY_MILLISECONDS = 2_000;

/** Time without a request after which a caller's state is dropped. */
const IDLE_MILLISECONDS = 60_000;

/** Number of callers from which on idle ones are looked for. */
const SWEEP_THRESHOLD = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

interface ICallerState {
  readonly bucket: TokenBucket;
  /** Tokens with which the bucket started. */
  initialTokens: number;
  /** Time as of which an earlier leader's level is known. */
  levelAt: Deadline | undefined;
  /**
   * Tokens that were added since then beyond the capacity; they cover what
   * instances admitted in the meantime and report now.
   */
  surplus: number;
  /** Time for which refused requests have been told to return. */
  bookedUntil: Deadline;
  usedAt: Deadline;
  admitted: number;
  refused: number;
}

/**
 * Keeps each caller within its limit of requests over the whole fleet, on the
 * leader, which places them.
 */
export class FleetCallerLimiter {
  #clock: IClock;
  #limitOf: (caller: string) => CallerLimit | undefined;
  #callers = new Map<string, ICallerState>();
  #startedAt: Deadline;
  /** Last report that was counted, by instance and process. */
  #batches = new Map<string, number>();

  /** @param limitOf the limit in force; undefined if there is none. */
  constructor(
    clock: IClock,
    limitOf: (caller: string) => CallerLimit | undefined,
  ) {
    this.#clock = clock;
    this.#limitOf = limitOf;
    this.#startedAt = clock.monotonic();
  }

  /** Whether the caller may send a request now. */
  mayAdmit(caller: string): boolean {
    const state = this.#stateOf(caller);
    return state === undefined || state.bucket.available >= 1;
  }

  /** Counts a request that is admitted. */
  take(caller: string): void {
    const state = this.#stateOf(caller);
    if (!state) return;
    state.bucket.take(1);
    state.admitted += 1;
  }

  /** Unused part of the caller's burst, from 0 to 1; undefined if unlimited. */
  levelOf(caller: string): number | undefined {
    const state = this.#stateOf(caller);
    const burst = this.#limitOf(caller)?.burst ?? 0;
    return state && state.bucket.available / Math.max(1, burst);
  }

  /**
   * Counts a refused request and returns the milliseconds after which its
   * caller may return. Refused requests are told different times, as each needs
   * a token of its own.
   */
  refuse(caller: string): number {
    const state = this.#stateOf(caller);
    const limit = this.#limitOf(caller);
    if (!state || !limit) return 0;
    state.refused += 1;
    const now = this.#clock.monotonic();
    const earliest = now +
      state.bucket.secondsToNext * MILLISECONDS_PER_SECOND;
    const interval = MILLISECONDS_PER_SECOND / limit.requestsPerSecond;
    const booked = Math.max(earliest, state.bookedUntil + interval);
    const latest = now + MAXIMUM_RETRY_MILLISECONDS;
    state.bookedUntil = Math.min(booked, latest) as Deadline;
    return state.bookedUntil - now;
  }

  /**
   * Counts what an instance admitted by itself, once for each report.
   *
   * @param process the instance's process, whose reports are numbered; empty
   * for versions that do not name it and continue the numbers of an earlier
   * process.
   */
  settle(instance: string, report: CallerUseReport, process = ""): void {
    const sender = `${instance}/${process}`;
    if ((this.#batches.get(sender) ?? 0) >= report.batch) return;
    this.#batches.set(sender, report.batch);
    const isFirst = this.#clock.monotonic() - this.#startedAt <
      FIRST_REPORTS_MILLISECONDS;
    for (const [caller, count] of report.counts) {
      const state = this.#stateOf(caller);
      if (!state) continue;
      const covered = isFirst ? Math.max(0, Math.min(state.surplus, count)) : 0;
      state.surplus -= covered;
      state.bucket.settle(count - covered);
    }
  }

  /**
   * Continues the buckets of an earlier leader with its last
   * reports to instances; the latest report on a caller counts.
   */
  restore(levels: readonly CallerLevel[]): void {
    const now = this.#clock.monotonic();
    for (const [caller, level, ageMilliseconds] of levels) {
      const limit = this.#limitOf(caller);
      const state = this.#stateOf(caller);
      const levelAt = now - ageMilliseconds as Deadline;
      const isNews = levelAt < this.#startedAt &&
        levelAt > (state?.levelAt ?? Number.NEGATIVE_INFINITY);
      if (!limit || !state || !isNews) continue;
      const seconds = (this.#startedAt - levelAt) / MILLISECONDS_PER_SECOND;
      const added = level * limit.burst + seconds * limit.requestsPerSecond;
      const tokens = Math.min(limit.burst, added);
      state.surplus = added - tokens;
      state.bucket.settle(state.initialTokens - tokens);
      state.initialTokens = tokens;
      state.levelAt = levelAt;
    }
  }

  /** Use of the limits by callers that sent requests of late. */
  usage(): Omit<CallerLimitUsage, "inProgress">[] {
    return [...this.#callers].flatMap(([caller, state]) => {
      const limit = this.#limitOf(caller);
      if (!limit) return [];
      const { bucket, admitted, refused } = state;
      return [{
        caller,
        perSecond: limit.requestsPerSecond,
        burst: limit.burst,
        available: bucket.available,
        ...{ admitted, refused },
      }];
    });
  }

  /** State of a caller; undefined if it has no limit. */
  #stateOf(caller: string): ICallerState | undefined {
    const limit = this.#limitOf(caller);
    if (!limit) {
      this.#callers.delete(caller);
      return undefined;
    }
    const now = this.#clock.monotonic();
    const state = this.#callers.get(caller) ?? {
      bucket: new TokenBucket(this.#clock, { initialTokens: INITIAL_TOKENS }),
      initialTokens: Math.min(INITIAL_TOKENS, Math.max(1, limit.burst)),
      levelAt: undefined,
      surplus: 0,
      bookedUntil: now,
      usedAt: now,
      admitted: 0,
      refused: 0,
    };
    if (this.#callers.size >= SWEEP_THRESHOLD) this.#dropIdle();
    this.#callers.set(caller, state);
    state.usedAt = now;
    const { requestsPerSecond, burst } = limit;
    state.bucket.setRate(requestsPerSecond, Math.max(1, burst));
    return state;
  }

  #dropIdle(): void {
    const earliest = this.#clock.monotonic() - IDLE_MILLISECONDS;
    for (const [caller, { usedAt }] of this.#callers) {
      if (usedAt < earliest) this.#callers.delete(caller);
    }
  }
}
