import { Buffer } from "node:buffer";
import { z } from "zod";
import { invariant } from "../common/mod.ts";
import { isTerminalState, ItemState, ItemTable } from "./item_table.ts";
import { type ItemCounts, itemCountsSchema, jobSchema } from "./messages.ts";
import type { Job } from "./messages.ts";
import {
  decodeResultRecords,
  encodeResultRecord,
  type IResultRecord,
  RESULT_RECORD_BYTES,
} from "./result_record.ts";
import type { SegmentStore } from "../consensus/mod.ts";

/** Result records per read of an index. */
const READ_RECORDS = 50_000;

const jobRecordSchema = jobSchema.omit({ counts: true }).extend({
  /** Position in the order of submissions. */
  sequence: z.number(),
});
export type JobRecord = z.infer<typeof jobRecordSchema>;

/** Snapshot of a job; its result index has the states of ended items. */
export const batchJobSnapshotSchema = z.object({
  record: jobRecordSchema,
  counts: itemCountsSchema,
  next: z.number(),
  returned: z.array(z.number()),
  open: z.array(z.object({
    index: z.number(),
    state: z.union([
      z.literal(ItemState.pending),
      z.literal(ItemState.leased),
    ]),
    attempts: z.number(),
    failures: z.number(),
  })),
  derivedLines: z.boolean(),
});
export type BatchJobSnapshot = z.infer<typeof batchJobSnapshotSchema>;

/** A job, its items while it runs, and the index of its results. */
export class BatchJob {
  readonly record: JobRecord;
  #store: SegmentStore;
  /** Undefined once the job has ended. */
  #items: ItemTable | undefined;
  #counts: ItemCounts;
  /** Index of the first item that was never granted. */
  #firstUngranted = 0;
  /** Items to grant again; some may have ended in the meantime. */
  #returned: number[] = [];
  #derivedLines = false;

  constructor(record: JobRecord, size: number, store: SegmentStore) {
    this.record = record;
    this.#store = store;
    this.#items = new ItemTable(size);
    this.#counts = countItems(this.#items);
  }

  static restore(snapshot: BatchJobSnapshot, store: SegmentStore): BatchJob {
    const { record, counts } = snapshot;
    const running = record.state === "running";
    const job = new BatchJob(record, running ? counts.total : 0, store);
    job.#counts = counts;
    job.#derivedLines = snapshot.derivedLines;
    if (!running) {
      job.#items = undefined;
      return job;
    }
    job.#restoreItems(snapshot);
    return job;
  }

  /** The job as callers see it. */
  get view(): Job {
    const { sequence: _, ...record } = this.record;
    return { ...record, counts: this.counts };
  }

  get counts(): ItemCounts {
    return this.#items ? countItems(this.#items) : this.#counts;
  }

  get openItems(): number {
    const { pending, leased } = this.counts;
    return pending + leased;
  }

  /** Whether result lines are derived from the input, which must be kept. */
  get hasDerivedLines(): boolean {
    return this.#derivedLines;
  }

  /**
   * Whether there may be items to lease. It can be true although all items in
   * question have ended.
   */
  get hasAvailableItems(): boolean {
    if (!this.#items) return false;
    return this.#returned.length > 0 || this.#firstUngranted < this.#items.size;
  }

  /** Number of recorded results. */
  get resultRecords(): number {
    return this.#store.length(this.#indexName) / RESULT_RECORD_BYTES;
  }

  get resultBytes(): number {
    return this.#store.length(this.#linesName) +
      this.#store.length(this.#indexName);
  }

  state(index: number): ItemState | undefined {
    if (!this.#items || index >= this.#items.size) return undefined;
    return this.#items.state(index);
  }

  isLeased(index: number, attempt: number): boolean {
    return this.#items?.state(index) === ItemState.leased &&
      this.#items.attempts(index) === attempt;
  }

  failures(index: number): number {
    return this.#items?.failures(index) ?? 0;
  }

  /** Marks the next available item as leased. */
  leaseNext(): { index: number; attempt: number } | undefined {
    const items = this.#items;
    if (!items) return undefined;
    while (this.hasAvailableItems) {
      const index = this.#returned.pop() ?? this.#firstUngranted++;
      if (items.state(index) !== ItemState.pending) continue;
      const attempt = items.attempts(index) + 1;
      items.setState(index, ItemState.leased);
      items.setAttempts(index, attempt);
      return { index, attempt };
    }
    return undefined;
  }

  /** Marks a leased item as pending; `makeAvailable` allows a new lease. */
  markPending(index: number, failures: number): void {
    this.#items?.setState(index, ItemState.pending);
    this.#items?.setFailures(index, failures);
  }

  /** Allows a pending item to be leased. */
  makeAvailable(index: number): void {
    if (this.state(index) === ItemState.pending) this.#returned.push(index);
  }

  /** Records an item's result; with an empty line, it is derived on reading. */
  recordResult(index: number, state: ItemState, line: string): void {
    invariant(
      isTerminalState(state),
      "the result state of an item is not terminal",
    );
    const items = this.#items;
    invariant(
      items !== undefined,
      "an item of an ended job received a result",
    );
    items.setState(index, state);
    const bytes = Buffer.from(line === "" ? "" : `${line}\n`, "utf8");
    const offset = this.#store.append(this.#linesName, bytes);
    if (line === "") this.#derivedLines = true;
    const record = encodeResultRecord({
      item: index,
      state,
      failures: items.failures(index),
      length: Math.max(0, bytes.length - 1),
      offset,
    });
    this.#store.append(this.#indexName, record);
  }

  /** Cancels every open item and returns those that were leased. */
  cancelOpenItems(): number[] {
    const items = this.#items;
    const leased: number[] = [];
    for (let index = 0; index < (items?.size ?? 0); index++) {
      if (items?.isTerminal(index)) continue;
      if (items?.state(index) === ItemState.leased) leased.push(index);
      this.recordResult(index, ItemState.cancelled, "");
    }
    return leased;
  }

  /** Ends the job and drops the item states held in memory. */
  finish(state: "finished" | "cancelled", now: number): void {
    invariant(this.openItems === 0, "a job ended with open items");
    const counts = this.counts;
    invariant(
      this.resultRecords === counts.total,
      "a job ended without exactly one result per item",
    );
    this.record.state = state;
    this.record.finishedAt = now;
    this.#counts = counts;
    this.#items = undefined;
    this.#returned = [];
  }

  /** Reads result records in the order of completion. */
  readRecords(from: number, limit: number): IResultRecord[] {
    const offset = from * RESULT_RECORD_BYTES;
    const length = limit * RESULT_RECORD_BYTES;
    return decodeResultRecords(
      this.#store.read(this.#indexName, offset, length),
    );
  }

  /** Reads the stored line of a record. */
  readLine(record: IResultRecord): string {
    const { offset, length } = record;
    return this.#store.read(this.#linesName, offset, length).toString("utf8");
  }

  /** Removes the result files. */
  removeFiles(): void {
    this.#store.remove(this.#linesName);
    this.#store.remove(this.#indexName);
  }

  snapshot(): BatchJobSnapshot {
    return {
      record: structuredClone(this.record),
      counts: this.counts,
      next: this.#firstUngranted,
      returned: [...this.#returned],
      open: this.#openItems(),
      derivedLines: this.#derivedLines,
    };
  }

  get #linesName(): string {
    return `${this.record.id}.results`;
  }

  get #indexName(): string {
    return `${this.record.id}.index`;
  }

  #openItems(): BatchJobSnapshot["open"] {
    const items = this.#items;
    const open: BatchJobSnapshot["open"] = [];
    if (!items) return open;
    for (let index = 0; index < this.#firstUngranted; index++) {
      const state = items.state(index);
      if (state !== ItemState.pending && state !== ItemState.leased) continue;
      const attempts = items.attempts(index);
      open.push({ index, state, attempts, failures: items.failures(index) });
    }
    return open;
  }

  #restoreItems(snapshot: BatchJobSnapshot): void {
    const items = new ItemTable(snapshot.counts.total);
    const total = this.resultRecords;
    for (let from = 0; from < total; from += READ_RECORDS) {
      for (const record of this.readRecords(from, READ_RECORDS)) {
        items.setState(record.item, record.state);
        items.setFailures(record.item, record.failures);
      }
    }
    for (const { index, state, attempts, failures } of snapshot.open) {
      items.setState(index, state);
      items.setAttempts(index, attempts);
      items.setFailures(index, failures);
    }
    this.#items = items;
    this.#firstUngranted = snapshot.next;
    this.#returned = [...snapshot.returned];
  }
}

function countItems(items: ItemTable): ItemCounts {
  return {
    total: items.size,
    pending: items.count(ItemState.pending),
    leased: items.count(ItemState.leased),
    done: items.count(ItemState.done),
    failed: items.count(ItemState.failed),
    cancelled: items.count(ItemState.cancelled),
    mayHaveRun: items.count(ItemState.mayHaveRun),
  };
}
