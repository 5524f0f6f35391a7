import type { Deadline, IClock } from "../common/mod.ts";
import type { CallerLimit } from "../service_routes/mod.ts";
import type { CallerLevel } from "./messages.ts";
import { TokenBucket } from "./token_bucket.ts";

/** Time over which the rate that the leader admits is observed, in ms. */
const OBSERVED_MILLISECONDS = 5_000;

/**
 * Share of its limit that all instances together admit of a caller whose
 * requests they have not seen of late.
 */
const UNSEEN_SHARE = 1 / 4;

/** Number of callers from which on those without recent requests are dropped. */
const SWEEP_THRESHOLD = 1_000;

/**
 * Pause after which a request without the leader begins anew: the leader has
 * admitted requests in the meantime, so nothing was saved up.
 */
const PAUSE_MILLISECONDS = 2_000;

/**
 * Longest time for which requests are refused after one refusal of the leader,
 * in milliseconds. Other instances may use the tokens of that time.
 */
const MAXIMUM_PAUSE_MILLISECONDS = 500;

/** Number of instances that is assumed before the leader has named it. */
const ASSUMED_INSTANCES = 100;

/** Time for which a level is worth telling another leader, in ms. */
const LEVEL_LIFETIME_MILLISECONDS = 10_000;

/** Seconds for which this instance saves up a caller's rate. */
const SAVED_SECONDS = 1 / 2;

/**
 * Share by which the rate may rise for a caller that left its burst unused:
 * requests come unevenly, and it is below its limit.
 */
const MAXIMUM_HEADROOM = 1 / 2;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Limit up to which a caller is not held back without the leader, in requests a
 * second. Each instance sees too few requests of such a caller to tell its
 * rate, and all of them together are few.
 */
const UNRESTRICTED_REQUESTS_PER_SECOND = 2;

/**
 * Seconds of its limit that all instances together admit at once of a caller
 * that left its burst unused, and requests that they admit of any caller.
 */
const CREDIT_SECONDS = 2.5;
const CREDIT_REQUESTS = 12;

interface IObservedCaller {
  /** Times of the admitted requests, oldest first. */
  readonly admittedAt: number[];
  bucket: TokenBucket | undefined;
  /** Requests that may be admitted at once without the leader. */
  credit: number;
  /** Unused part of the caller's burst, from 0 to 1, as last heard. */
  level: number;
  /** Rate since the leader last admitted a request; undefined while it does. */
  rate: number | undefined;
  /** Time of the last request without the leader. */
  askedAt: Deadline | undefined;
  /** Time until which requests are refused without asking the leader. */
  refusedUntil: Deadline | undefined;
}

/**
 * Keeps this instance's part of callers' limits while it places requests
 * without the leader.
 *
 * It continues at the rate at which the leader last admitted each caller's
 * requests here. The rates of all instances add up to what the leader allows.
 */
export class CallerUse {
  #clock: IClock;
  #instances: () => number | undefined;
  #random: () => number;
  #callers = new Map<string, IObservedCaller>();

  /**
   * @param options.instances number of instances that place requests;
   * undefined if it is not known.
   * @param options.random source of random numbers from 0 up to, not
   * including, 1.
   */
  constructor(
    clock: IClock,
    options: { instances: () => number | undefined; random: () => number },
  ) {
    this.#clock = clock;
    this.#instances = options.instances;
    this.#random = options.random;
  }

  /**
   * Records a request that the leader has admitted.
   *
   * @param level unused part of the caller's burst, from 0 to 1.
   */
  record(caller: string, level = 0): void {
    const observed = this.#callerOf(caller);
    observed.admittedAt.push(this.#clock.monotonic());
    observed.level = level;
    observed.rate = undefined;
    dropOld(observed, this.#clock.monotonic() - OBSERVED_MILLISECONDS);
  }

  /** Admits a request without the leader if the caller's rate allows it. */
  tryAdmit(caller: string, limit: CallerLimit): boolean {
    const { requestsPerSecond } = limit;
    if (requestsPerSecond <= UNRESTRICTED_REQUESTS_PER_SECOND) return true;
    const observed = this.#callerOf(caller);
    const instances = this.#instances() ?? ASSUMED_INSTANCES;
    const bucket = this.#bucketOf(observed, requestsPerSecond / instances);
    observed.rate ??= this.#rateOf(observed);
    const unseen = requestsPerSecond * UNSEEN_SHARE / instances;
    const rate = Math.min(observed.rate || unseen, requestsPerSecond);
    const capacity = Math.max(rate * SAVED_SECONDS, observed.credit) + 1;
    bucket.setRate(rate, capacity);
    return bucket.take(1) === 1;
  }

  /** What the leader last said about the limits of callers. */
  levels(): CallerLevel[] {
    const now = this.#clock.monotonic();
    return [...this.#callers].flatMap(([caller, { level, admittedAt }]) => {
      const heardAt = admittedAt.at(-1);
      return heardAt === undefined ||
          now - heardAt > LEVEL_LIFETIME_MILLISECONDS
        ? []
        : [[caller, level, Math.round(now - heardAt)]];
    });
  }

  /**
   * Records that the leader refused a request because of the caller's limit.
   * Until its token is there, or the longest pause is over, further requests of
   * the caller need not ask the leader, which would be overloaded by them.
   */
  recordRefusal(caller: string, retryMilliseconds: number): void {
    const pause = Math.min(retryMilliseconds, MAXIMUM_PAUSE_MILLISECONDS);
    this.#callerOf(caller).refusedUntil = this.#clock.deadlineIn(pause);
  }

  /** Milliseconds for which requests of the caller are refused here. */
  refusalMilliseconds(caller: string): number {
    const until = this.#callers.get(caller)?.refusedUntil;
    return until === undefined ? 0 : this.#clock.remaining(until);
  }

  /** Rate at which the leader has admitted requests here, a second. */
  #rateOf(observed: IObservedCaller): number {
    dropOld(observed, this.#clock.monotonic() - OBSERVED_MILLISECONDS);
    const seconds = OBSERVED_MILLISECONDS / MILLISECONDS_PER_SECOND;
    return observed.admittedAt.length / seconds *
      (1 + MAXIMUM_HEADROOM * observed.level);
  }

  #callerOf(caller: string): IObservedCaller {
    const known = this.#callers.get(caller);
    if (known) return known;
    if (this.#callers.size >= SWEEP_THRESHOLD) this.#dropUnseen();
    const observed = {
      ...{ admittedAt: [], bucket: undefined, credit: 0 },
      // A caller whose requests are not seen here does not send many.
      ...{ level: 1, rate: undefined },
      ...{ askedAt: undefined, refusedUntil: undefined },
    };
    this.#callers.set(caller, observed);
    return observed;
  }

  /** The bucket since the leader was lost; begins with this part's credit. */
  #bucketOf(observed: IObservedCaller, share: number): TokenBucket {
    const now = this.#clock.monotonic();
    const { askedAt, bucket, level } = observed;
    observed.askedAt = now;
    const isPaused = askedAt !== undefined &&
      now - askedAt > PAUSE_MILLISECONDS;
    if (bucket && !isPaused) return bucket;
    const instances = this.#instances() ?? ASSUMED_INSTANCES;
    observed.credit = CREDIT_SECONDS * share * level +
      CREDIT_REQUESTS / instances;
    // The random part spreads credits below one over the instances.
    const initialTokens = observed.credit + this.#random();
    observed.bucket = new TokenBucket(this.#clock, { initialTokens });
    return observed.bucket;
  }

  #dropUnseen(): void {
    const earliest = this.#clock.monotonic() - OBSERVED_MILLISECONDS;
    for (const [caller, observed] of this.#callers) {
      dropOld(observed, earliest);
      if (observed.admittedAt.length === 0) this.#callers.delete(caller);
    }
  }
}

/** Drops the times of requests before a point in time. */
function dropOld({ admittedAt }: IObservedCaller, earliest: number): void {
  let old = 0;
  while (old < admittedAt.length && (admittedAt[old] ?? 0) < earliest) {
    old += 1;
  }
  admittedAt.splice(0, old);
}
