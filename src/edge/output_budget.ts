import type { Deadline, IClock } from "../common/mod.ts";

/**
 * Time without progress of its reader after which a response may be given up,
 * in milliseconds. Slower readers keep their responses.
 */
const STOPPED_MILLISECONDS = 2_000;

/** Most bytes that responses hold for readers that are slow. */
export interface IOutputLimits {
  /** Bytes of one response. */
  readonly responseBytes: number;
  /** Bytes of all responses of the process. */
  readonly totalBytes: number;
}

/** A response that may hold bytes which its reader has not taken. */
export interface IBufferedOutput {
  /** Bytes that are held. */
  readonly heldBytes: number;
  /** Closes the connection, which marks the answer as incomplete. */
  abort(): void;
}

interface IHeldOutput {
  bytes: number;
  /** Time at which the reader last took bytes. */
  progressAt: Deadline;
}

/**
 * Bounds the bytes that responses hold for slow readers.
 *
 * Up to the bound, an engine's answer is read as fast as it comes: engines cut
 * off answers that stay unread for seconds. Beyond it, the engine has to wait
 * for the reader. If all responses together reach their bound, the one whose
 * reader has stopped for the longest time is given up.
 */
export class OutputBudget {
  #clock: IClock;
  #limits: IOutputLimits;
  #held = new Map<IBufferedOutput, IHeldOutput>();
  #totalBytes = 0;

  constructor(clock: IClock, limits: IOutputLimits) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** Whether new requests should be refused, as memory is running out. */
  get isExhausted(): boolean {
    return this.#totalBytes >= this.#limits.totalBytes;
  }

  /** Bytes that all responses hold. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Number of responses that hold bytes. */
  get holders(): number {
    return this.#held.size;
  }

  /**
   * Updates what a response holds; returns whether more may be written before
   * its reader has taken some.
   */
  update(output: IBufferedOutput): boolean {
    const bytes = output.heldBytes;
    const known = this.#held.get(output);
    this.#totalBytes += bytes - (known?.bytes ?? 0);
    const now = this.#clock.monotonic();
    if (bytes === 0) this.#held.delete(output);
    else if (!known) this.#held.set(output, { bytes, progressAt: now });
    else {
      if (bytes < known.bytes) known.progressAt = now;
      known.bytes = bytes;
    }
    if (this.isExhausted) this.#giveUpStopped();
    return bytes < this.#limits.responseBytes && !this.isExhausted;
  }

  /** Forgets a response that has ended. */
  remove(output: IBufferedOutput): void {
    this.#totalBytes -= this.#held.get(output)?.bytes ?? 0;
    this.#held.delete(output);
  }

  #giveUpStopped(): void {
    const earliest = this.#clock.monotonic() - STOPPED_MILLISECONDS;
    let stopped: IBufferedOutput | undefined;
    let stoppedSince = earliest;
    for (const [output, { progressAt }] of this.#held) {
      if (progressAt >= stoppedSince) continue;
      stopped = output;
      stoppedSince = progressAt;
    }
    if (!stopped) return;
    this.remove(stopped);
    stopped.abort();
  }
}
