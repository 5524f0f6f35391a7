import type { Deadline, IClock } from "../common/mod.ts";

/** Maximum number of streams that are kept; the oldest are dropped first. */
const MAXIMUM_STREAMS = 100_000;

/** Maximum number of streams in one report. */
const MAXIMUM_REPORTED_STREAMS = 500;

/** Where the first event of a stream was produced. */
export interface IStreamOrigin {
  /** Attempt of the caller in which the stream began. */
  readonly request: string;
  readonly service: string;
  /** Version of the software of the engine. */
  readonly softwareVersion: string;
  /** Time until which the stream may be resumed. */
  readonly expiresAt: Deadline;
}

interface IHeldOrigin extends IStreamOrigin {
  /** Term of the leader that has received the origin. */
  reportedTerm: number | undefined;
}

/**
 * Origins of the streams that callers may resume. An origin never changes, so
 * copies on several instances need no agreement.
 */
export class StreamOrigins {
  #clock: IClock;
  #origins = new Map<string, IHeldOrigin>();

  constructor(clock: IClock) {
    this.#clock = clock;
  }

  /** Records where a stream began; the first record of a stream is kept. */
  record(origin: IStreamOrigin): void {
    this.#removeExpired();
    if (this.#origins.has(origin.request)) return;
    this.#origins.set(origin.request, { ...origin, reportedTerm: undefined });
  }

  find(request: string): IStreamOrigin | undefined {
    const origin = this.#origins.get(request);
    if (!origin || this.#clock.isPast(origin.expiresAt)) return undefined;
    return origin;
  }

  /** Origins that the leader of a term has not received, oldest first. */
  unreported(term: number): IStreamOrigin[] {
    const origins: IStreamOrigin[] = [];
    for (const origin of this.#origins.values()) {
      if (origins.length >= MAXIMUM_REPORTED_STREAMS) break;
      const isReported = origin.reportedTerm === term;
      if (isReported || this.#clock.isPast(origin.expiresAt)) continue;
      origins.push(origin);
    }
    return origins;
  }

  /** Records that the leader of a term has received origins. */
  markReported(origins: readonly IStreamOrigin[], term: number): void {
    for (const { request } of origins) {
      const origin = this.#origins.get(request);
      if (origin) origin.reportedTerm = term;
    }
  }

  #removeExpired(): void {
    for (const [request, { expiresAt }] of this.#origins) {
      const isFull = this.#origins.size >= MAXIMUM_STREAMS;
      if (!isFull && !this.#clock.isPast(expiresAt)) return;
      this.#origins.delete(request);
    }
  }
}
