import { z } from "zod";
import { Emitter } from "../common/mod.ts";
import type {
  IApplyContext,
  IStateSection,
  SectionFile,
  SectionSnapshot,
} from "../consensus/mod.ts";
import {
  type BulkCommand,
  bulkSection,
  type ProgressDelta,
} from "./messages.ts";
import type { RequestFiles } from "./request_files.ts";
import {
  type BulkItem,
  type BulkJob,
  EMPTY_REQUEST,
  type HeldItem,
  type HeldJob,
  heldJobSchema,
  type ItemProgress,
  requestCharacters,
} from "./types.ts";

/** Size of a job's requests above which they are kept in a file. */
const MAXIMUM_JOB_CHARACTERS = 32 * 1024;

/** Size of all requests in memory above which those of new jobs are not. */
const MAXIMUM_LOADED_CHARACTERS = 8 * 1024 * 1024;

type RecordCommand = Extract<BulkCommand, { kind: "record" }>;

/** A job with indices over its items. */
class IndexedJob {
  readonly held: HeldJob;
  readonly items: Map<string, HeldItem>;
  readonly withResult: Set<string>;
  /** File with the requests of the items; undefined if they are in memory. */
  readonly file: string | undefined;
  /** Size of the requests in memory. */
  loadedCharacters: number;
  /** Tokens of the items that still wait for a result. */
  waitingTokens: number;

  constructor(held: HeldJob) {
    this.held = held;
    this.items = new Map(held.job.items.map((item) => [item.id, item]));
    this.withResult = new Set(held.results.map(({ item }) => item));
    this.file = held.job.items.find(({ stored }) => stored)?.stored?.file;
    this.loadedCharacters = requestCharacters(held.job.items);
    this.waitingTokens = this.#countWaitingTokens();
  }

  /** Whether nothing is left to run. */
  get isClosed(): boolean {
    return this.held.hasEnded || this.withResult.size === this.items.size;
  }

  #countWaitingTokens(): number {
    if (this.held.hasEnded) return 0;
    const waiting = [...this.items.values()]
      .filter(({ id }) => !this.withResult.has(id));
    return waiting.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Drops the headers and body of an item, which only its run needs. */
  dropRequest(id: string): void {
    const { job } = this.held;
    const position = job.items.findIndex((item) => item.id === id);
    const item = job.items[position];
    if (!item) return;
    this.loadedCharacters -= requestCharacters([item]);
    const { tokens } = item;
    const stripped = { ...EMPTY_REQUEST, id, tokens };
    job.items[position] = stripped;
    this.items.set(id, stripped);
  }
}

/** Replicated jobs with their items and results. */
export class BulkSection implements
  IStateSection<
    typeof bulkSection.command,
    typeof bulkSection.output
  > {
  readonly definition = bulkSection;
  #files: RequestFiles | undefined;
  #jobs = new Map<string, IndexedJob>();
  #loadedCharacters = 0;
  #settledTokens = 0;
  #settledBytes = 0;
  #settledItems = 0;
  #changed = new Emitter<string>();
  /** Fires with the identifier of a job that has changed. */
  readonly onChanged = this.#changed.event;

  /** @param files files for the requests of large jobs; by default none */
  constructor(files?: RequestFiles) {
    this.#files = files;
  }

  apply(command: BulkCommand, context: IApplyContext) {
    if (command.kind === "progress") {
      for (const delta of command.deltas) this.#appendProgress(delta);
      return { isKnown: true };
    }
    if (command.kind === "forget") {
      for (const id of command.jobs) this.#forget(id);
      return { isKnown: true };
    }
    const id = command.kind === "submit" ? command.job.id : command.job;
    const state = this.#jobs.get(id);
    if (command.kind === "submit" && !state) {
      this.#hold({
        job: copyJob(command.job),
        acceptedAt: context.proposedAt,
        results: [],
        progress: [],
        hasEnded: false,
      }, `${context.index}`);
    } else if (command.kind === "record" && state) {
      if (!this.#record(state, command)) return { isKnown: false };
    } else if (command.kind === "end" && state) {
      this.#end(state);
    }
    this.#changed.fire(id);
    return { isKnown: state !== undefined || command.kind === "submit" };
  }

  job(id: string): HeldJob | undefined {
    return this.#jobs.get(id)?.held;
  }

  /** Jobs that have items without a result and that were not ended. */
  openJobs(): HeldJob[] {
    return [...this.#jobs.values()]
      .filter(({ isClosed }) => !isClosed)
      .map(({ held }) => held);
  }

  /** Identifiers of closed jobs that were accepted before a wall time. */
  closedJobsAcceptedBefore(wall: number): string[] {
    return [...this.#jobs.values()]
      .filter(({ isClosed, held }) => isClosed && held.acceptedAt < wall)
      .map(({ held }) => held.job.id);
  }

  /** Tokens of the items that wait for a result, over the jobs that match. */
  waitingTokens(matches: (job: BulkJob) => boolean): number {
    let sum = 0;
    for (const { held, waitingTokens } of this.#jobs.values()) {
      if (waitingTokens > 0 && matches(held.job)) sum += waitingTokens;
    }
    return sum;
  }

  /**
   * Tokens of the items that stopped waiting since this process started. For
   * rates only: replicas differ in it.
   */
  get settledTokens(): number {
    return this.#settledTokens;
  }

  /** Size of the requests of the items that wait, in bytes. */
  get requestBytes(): number {
    return this.#loadedCharacters + (this.#files?.bytes ?? 0);
  }

  /** Size of the requests that were removed since this process started. */
  get settledBytes(): number {
    return this.#settledBytes;
  }

  /** Number of items that stopped waiting since this process started. */
  get settledItems(): number {
    return this.#settledItems;
  }

  /** Number of items by state. */
  counts(): { waiting: number; done: number; dead: number; ended: number } {
    const counts = { waiting: 0, done: 0, dead: 0, ended: 0 };
    for (const { held, items } of this.#jobs.values()) {
      for (const { state } of held.results) counts[state] += 1;
      const left = items.size - held.results.length;
      if (held.hasEnded) counts.ended += left;
      else counts.waiting += left;
    }
    return counts;
  }

  /** An item that has no result yet, unless its job has ended. */
  findOpenItem(job: string, item: string): HeldItem | undefined {
    const state = this.#jobs.get(job);
    if (!state || state.held.hasEnded) return undefined;
    return state.withResult.has(item) ? undefined : state.items.get(item);
  }

  /** Returns an item with its request, which is read if it is in a file. */
  loadRequest(item: HeldItem): BulkItem {
    const { id, tokens, stored } = item;
    if (!stored) return item;
    if (!this.#files) throw new Error("the section has no files");
    return { id, tokens, ...this.#files.read(stored) };
  }

  /** Progress of an item without a result, as committed to the log. */
  progress(job: string, item: string): ItemProgress | undefined {
    const held = this.#jobs.get(job)?.held;
    return held?.progress.find((progress) => progress.item === item);
  }

  hasResult(job: string, item: string): boolean {
    return this.#jobs.get(job)?.withResult.has(item) ?? false;
  }

  async snapshot(): Promise<SectionSnapshot> {
    const state = [...this.#jobs.values()].map(({ held }) => ({
      ...held,
      job: { ...held.job, items: held.job.items.map(snapshotItem) },
      results: [...held.results],
      progress: held.progress.map((it) => ({ ...it, data: [...it.data] })),
    }));
    return { state, files: await this.#files?.snapshot() ?? [] };
  }

  restore({ state, files }: SectionSnapshot): Promise<void> {
    return this.restoreElements(z.array(z.unknown()).parse(state), files);
  }

  restoreElements(
    elements: Iterable<unknown>,
    files: readonly SectionFile[],
  ): Promise<void> {
    this.#clear();
    this.#files?.restore(files);
    for (const element of elements) {
      const held = heldJobSchema.parse(element);
      this.#hold(held, this.#files?.unusedName() ?? "");
    }
    return Promise.resolve();
  }

  reset(): Promise<void> {
    this.#clear();
    this.#files?.restore([]);
    return Promise.resolve();
  }

  #clear(): void {
    this.#jobs.clear();
    this.#loadedCharacters = 0;
  }

  /** Adds a job; its requests are written to a file if they are too large. */
  #hold(held: HeldJob, file: string): void {
    const { id, items } = held.job;
    const characters = requestCharacters(items);
    const isLarge = characters > MAXIMUM_JOB_CHARACTERS ||
      this.#loadedCharacters + characters > MAXIMUM_LOADED_CHARACTERS;
    const job = this.#files && isLarge && characters > 0
      ? { ...held.job, items: this.#files.add(id, file, items) }
      : held.job;
    const indexed = new IndexedJob({ ...held, job });
    this.#jobs.set(id, indexed);
    this.#loadedCharacters += indexed.loadedCharacters;
  }

  #forget(id: string): void {
    const state = this.#jobs.get(id);
    if (!state) return;
    this.#jobs.delete(id);
    this.#dropRequests(state, [...state.items.keys()]);
    this.#removeFile(state);
  }

  /** Drops the requests of items that no run needs any more. */
  #dropRequests(state: IndexedJob, items: readonly string[]): void {
    const before = state.loadedCharacters;
    for (const item of items) state.dropRequest(item);
    const dropped = before - state.loadedCharacters;
    this.#loadedCharacters -= dropped;
    this.#settledBytes += dropped;
    if (state.isClosed) this.#removeFile(state);
  }

  #removeFile({ file }: IndexedJob): void {
    if (!this.#files || file === undefined) return;
    const before = this.#files.bytes;
    this.#files.remove(file);
    this.#settledBytes += before - this.#files.bytes;
  }

  /**
   * Adds a result made of the recorded progress and the data of the command.
   * Only the first result of an item counts; items of other jobs are ignored.
   *
   * @returns false if the progress that the command continues is missing.
   */
  #record(state: IndexedJob, command: RecordCommand): boolean {
    const { items, withResult, held } = state;
    const { item, from, data } = command;
    const isIgnored = held.hasEnded || withResult.has(item) ||
      !items.has(item);
    if (isIgnored) return true;
    const known = held.progress.find((it) => it.item === item)?.data ?? [];
    if (from > known.length) return false;
    const text = [...known.slice(0, from), ...data].join("\n");
    withResult.add(item);
    this.#settle(state, { items: 1, tokens: items.get(item)?.tokens ?? 0 });
    held.results.push({ item, state: command.state, text });
    held.progress = held.progress.filter((it) => it.item !== item);
    this.#dropRequests(state, [item]);
    return true;
  }

  #settle(
    state: IndexedJob,
    { items, tokens }: { items: number; tokens: number },
  ): void {
    state.waitingTokens -= tokens;
    this.#settledTokens += tokens;
    this.#settledItems += items;
  }

  #end(state: IndexedJob): void {
    if (!state.held.hasEnded) {
      const items = state.items.size - state.withResult.size;
      this.#settle(state, { items, tokens: state.waitingTokens });
    }
    state.held.hasEnded = true;
    state.held.progress = [];
    this.#dropRequests(state, [...state.items.keys()]);
  }

  /** Appends events to an item's progress; ignores a delta after a gap. */
  #appendProgress(delta: ProgressDelta): void {
    const { job, item, from, data, lastEventId, softwareVersion } = delta;
    const state = this.#jobs.get(job);
    if (!state || state.withResult.has(item) || !state.items.has(item)) return;
    const { held } = state;
    if (held.hasEnded) return;
    const known = held.progress.find((it) => it.item === item);
    const before = known?.data ?? [];
    if (from > before.length) return;
    const next = {
      item,
      data: [...before.slice(0, from), ...data],
      lastEventId,
      softwareVersion,
    };
    held.progress = [...held.progress.filter((it) => it !== known), next];
  }
}

/** Copies a job, so that changes of its items leave the log entry unchanged. */
function copyJob(job: BulkJob): BulkJob {
  return { ...job, items: [...job.items] };
}

/** An item as snapshots contain it. */
function snapshotItem(item: HeldItem) {
  const { id, tokens, stored } = item;
  return stored ? { id, tokens, stored } : item;
}
