import {
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { BulkSection } from "./bulk_section.ts";
import { DrainRate } from "./drain_rate.ts";
import { PendingJobs } from "./pending_jobs.ts";
import { type BulkJob, requestCharacters } from "./types.ts";

/**
 * Largest number of items that wait. The leader ranks all of them whenever it
 * plans which ones to start.
 */
const MAXIMUM_WAITING_ITEMS = 20_000;

/** Memory that an item takes on each store beside its request, in bytes. */
const ITEM_BYTES = 1_024;

/** Why a job was refused for lack of space. */
export interface ISpaceRefusal {
  /** Bytes that the refused job needs. */
  readonly bytes: number;
  /** Bytes of the jobs that wait. */
  readonly usedBytes: number;
  readonly maximumBytes: number;
  readonly items: number;
  readonly waitingItems: number;
  readonly maximumItems: number;
  /** Estimated time until the job fits; undefined if it never can. */
  readonly retryMilliseconds: number | undefined;
}

/** What a job adds to the state of each store. */
interface ISpace {
  readonly bytes: number;
  readonly items: number;
}

/**
 * Limits the bytes and the number of the items of accepted jobs, which every
 * store keeps until they have run.
 *
 * Like `WaitingTokenLimiter`, it decides at the leader only, after a barrier,
 * and counts what the leader has proposed until it is applied.
 */
export class RequestSpaceLimiter implements IDisposable {
  #section: BulkSection;
  #clock: IClock;
  #maximumBytes: number;
  #maximumItems: number;
  #pending = new PendingJobs<ISpace>();
  #byteRate = new DrainRate();
  #itemRate = new DrainRate();
  #disposables = new DisposableStore();

  constructor(
    section: BulkSection,
    options: { clock: IClock; maximumBytes: number; maximumItems?: number },
  ) {
    this.#section = section;
    this.#clock = options.clock;
    this.#maximumBytes = options.maximumBytes;
    this.#maximumItems = options.maximumItems ?? MAXIMUM_WAITING_ITEMS;
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
    const { bytes, items } = spaceOf(job);
    const used = this.#usedSpace();
    const maximumBytes = this.#maximumBytes;
    const maximumItems = this.#maximumItems;
    const excessBytes = used.bytes + bytes - maximumBytes;
    const excessItems = used.items + items - maximumItems;
    if (excessBytes <= 0 && excessItems <= 0) {
      this.#pending.add(job.id, term, { bytes, items });
      return undefined;
    }
    const isPossible = bytes <= maximumBytes && items <= maximumItems;
    return {
      ...{ bytes, usedBytes: used.bytes, maximumBytes },
      ...{ items, waitingItems: used.items, maximumItems },
      retryMilliseconds: !isPossible ? undefined : Math.max(
        excessBytes > 0 ? this.#byteRate.retryMilliseconds(excessBytes) : 0,
        excessItems > 0 ? this.#itemRate.retryMilliseconds(excessItems) : 0,
      ),
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
    const now = this.#clock.monotonic();
    this.#byteRate.sample(now, this.#section.settledBytes);
    this.#itemRate.sample(now, this.#section.settledItems);
  }

  /** Space of the jobs that wait, with those that are being committed. */
  #usedSpace(): ISpace {
    const { waiting } = this.#section.counts();
    const used = {
      bytes: this.#section.requestBytes + waiting * ITEM_BYTES,
      items: waiting,
    };
    for (const { bytes, items } of this.#pending.values()) {
      used.bytes += bytes;
      used.items += items;
    }
    return used;
  }
}

function spaceOf({ items }: BulkJob): ISpace {
  const bytes = requestCharacters(items) + items.length * ITEM_BYTES;
  return { bytes, items: items.length };
}
