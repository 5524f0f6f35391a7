import type { Buffer } from "node:buffer";
import { err, type Result } from "neverthrow";
import {
  CallBacklog,
  type Deadline,
  type Failure,
  type IClock,
  notRun,
} from "../common/mod.ts";

/**
 * Longest expected wait of a document. Operators go elsewhere after a second
 * without an answer, and part of it is needed for the commit.
 */
const MAXIMUM_WAIT_MILLISECONDS = 500;

/** Weight of a new duration in the exponential moving average. */
const MEAN_SMOOTHING_FACTOR = 0.3;

const MILLISECONDS_PER_SECOND = 1_000;

/** Limits of one decoding. */
export interface IDecodingOptions {
  readonly deadline: Deadline;
  /** Is aborted when the sender no longer waits. */
  readonly signal: AbortSignal;
}

/**
 * Decodes documents, one in each turn of the event loop, so that a burst of
 * large ones does not delay heartbeats. Documents that would wait too long are
 * refused at once; those whose senders have left are not decoded.
 */
export class DocumentDecoder<T> {
  #decode: (text: string) => Result<T, string>;
  #clock: IClock;
  #backlog: CallBacklog;
  /** Mean time of decoding one document; undefined before the first. */
  #meanMilliseconds: number | undefined;

  /** @param decode the error describes the problem of a document. */
  constructor(decode: (text: string) => Result<T, string>, clock: IClock) {
    this.#decode = decode;
    this.#clock = clock;
    this.#backlog = new CallBacklog(clock, { callsPerTurn: 1 });
  }

  /** Fails with the code `bad-request` if the document is invalid. */
  async decode(
    bytes: Buffer,
    { deadline, signal }: IDecodingOptions,
  ): Promise<Result<T, Failure>> {
    const wait = this.#backlog.length * (this.#meanMilliseconds ?? 0);
    if (wait > MAXIMUM_WAIT_MILLISECONDS) {
      const retryAfterSeconds = wait / MILLISECONDS_PER_SECOND;
      return err(notRun("overloaded", "too many documents wait here", {
        retryAfterSeconds,
      }));
    }
    const isInTime = await this.#backlog.enter(deadline);
    if (signal.aborted) return err(notRun("cancelled", "the sender has left"));
    if (!isInTime) {
      const reason = "the document waited past its deadline";
      return err(notRun("deadline-exceeded", reason));
    }
    const startedAt = this.#clock.monotonic();
    const decoded = this.#decode(bytes.toString("utf8"));
    this.#recordDuration(this.#clock.monotonic() - startedAt);
    return decoded.mapErr((reason) => notRun("bad-request", reason));
  }

  #recordDuration(milliseconds: number): void {
    const mean = this.#meanMilliseconds ?? milliseconds;
    this.#meanMilliseconds = mean +
      MEAN_SMOOTHING_FACTOR * (milliseconds - mean);
  }
}
