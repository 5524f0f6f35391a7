import {
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { BulkSection } from "./bulk_section.ts";
import { DrainRate } from "./drain_rate.ts";
import { PendingJobs } from "./pending_jobs.ts";
import { type BulkJob, requestCharacters } from "./types.ts";

/** Memory that an item takes on each store beside its request, in bytes. */
const ITEM_BYTES = 1_024;

/** Why a job was refused for lack of space. */
export interface ISpaceRefusal {
  /** Bytes that the refused job needs. */
  readonly bytes: number;
  /** Bytes of the jobs that wait. */
  readonly usedBytes: number;
  readonly maximumBytes: number;
  /** Estimated time until the job fits; undefined if it never can. */
  readonly retryMilliseconds: number | undefined;
}

/**
 * Limits the bytes of the requests of accepted jobs, which every store keeps
 * until they have run.
 *
 * Like `WaitingTokenLimiter`, it decides at the leader only, after a barrier,
 * and counts what the leader has proposed until it is applied.
 */
export class RequestSpaceLimiter implements IDisposable {
  #section: BulkSection;
  #clock: IClock;
  #maximumBytes: number;
  #pending = new PendingJobs<number>();
  #drainRate = new DrainRate();
  #disposables = new DisposableStore();

  constructor(
    section: BulkSection,
    options: { clock: IClock; maximumBytes: number },
  ) {
    this.#section = section;
    this.#clock = options.clock;
    this.#maximumBytes = options.maximumBytes;
    this.#disposables.add(section.onChanged((job) => this.#onChanged(job)));
  }

  /**
   * Decides on a job that is not known yet, in a term that this replica leads.
   * A job that fits is counted from now on, as by `WaitingTokenLimiter`.
   */
  findRefusal(job: BulkJob, term: number): ISpaceRefusal | undefined {
    this.#pending.forgetEarlierTerms(term);
    // An earlier proposal of this job may still be committed.
    if (this.#pending.has(job.id)) return undefined;
    const bytes = jobBytes(job);
    const pending = this.#pending.values()
      .reduce((sum, pendingBytes) => sum + pendingBytes, 0);
    const usedBytes = this.#section.requestBytes + pending +
      this.#section.counts().waiting * ITEM_BYTES;
    const excess = usedBytes + bytes - this.#maximumBytes;
    if (excess <= 0) {
      this.#pending.add(job.id, term, bytes);
      return undefined;
    }
    return {
      ...{ bytes, usedBytes, maximumBytes: this.#maximumBytes },
      retryMilliseconds: bytes > this.#maximumBytes
        ? undefined
        : this.#drainRate.retryMilliseconds(excess),
    };
  }

  /** Stops counting a job whose proposal provably failed. */
  release(job: string): void {
    this.#pending.delete(job);
  }

  dispose(): void {
    this.#disposables.dispose();
  }

  #onChanged(job: string): void {
    if (this.#section.job(job)) this.#pending.delete(job);
    this.#drainRate.sample(
      this.#clock.monotonic(),
      this.#section.settledBytes,
    );
  }
}

function jobBytes({ items }: BulkJob): number {
  return requestCharacters(items) + items.length * ITEM_BYTES;
}
