import { z } from "zod";
import { Emitter } from "../common/mod.ts";
import type {
  IApplyContext,
  IStateSection,
  SectionFile,
  SectionSnapshot,
} from "../consensus/mod.ts";
import { IndexedJob } from "./indexed_job.ts";
import {
  type BulkCommand,
  bulkSection,
  type ProgressDelta,
} from "./messages.ts";
import type { JobFiles } from "./job_files.ts";
import {
  type BulkItem,
  type BulkJob,
  type BulkResult,
  type HeldItem,
  type HeldJob,
  heldJobSchema,
  type HeldResult,
  type ItemProgress,
  requestCharacters,
} from "./types.ts";

/** Size of a result's text above which it is kept in a file. */
const MAXIMUM_TEXT_CHARACTERS = 64 * 1024;

/** Size of all texts in memory above which those of new results are not. */
const MAXIMUM_LOADED_TEXT_CHARACTERS = 8 * 1024 * 1024;

/** Size of a job's requests above which they are kept in a file. */
const MAXIMUM_JOB_CHARACTERS = 32 * 1024;

/** Size of all requests in memory above which those of new jobs are not. */
const MAXIMUM_LOADED_CHARACTERS = 8 * 1024 * 1024;

type RecordCommand = Extract<BulkCommand, { kind: "record" }>;

/** Replicated jobs with their items and results. */
export class BulkSection implements
  IStateSection<
    typeof bulkSection.command,
    typeof bulkSection.output
  > {
  readonly definition = bulkSection;
  #files: JobFiles | undefined;
  #jobs = new Map<string, IndexedJob>();
  #loadedCharacters = 0;
  #loadedTextCharacters = 0;
  #settledTokens = 0;
  #settledBytes = 0;
  #settledItems = 0;
  #changed = new Emitter<string>();
  /** Fires with the identifier of a job that has changed. */
  readonly onChanged = this.#changed.event;

  /** @param files files for large requests and texts; by default none */
  constructor(files?: JobFiles) {
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
    return this.#loadedCharacters + (this.#files?.requestBytes ?? 0);
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
    return { id, tokens, ...this.#files.readRequest(stored) };
  }

  /** Returns a result with its text, which is read if it is in a file. */
  loadResult({ stored, ...result }: HeldResult): BulkResult {
    if (!stored) return result;
    if (!this.#files) throw new Error("the section has no files");
    return { ...result, text: this.#files.readText(stored) };
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
      results: held.results.map(snapshotResult),
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
      const results = held.results.map((result) => this.#holdResult(result));
      this.#hold({ ...held, results }, this.#files?.unusedName() ?? "");
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
    this.#loadedTextCharacters = 0;
  }

  /** Adds a job; its requests are written to a file if they are too large. */
  #hold(held: HeldJob, file: string): void {
    const { id, items } = held.job;
    const characters = requestCharacters(items);
    const isLarge = characters > MAXIMUM_JOB_CHARACTERS ||
      this.#loadedCharacters + characters > MAXIMUM_LOADED_CHARACTERS;
    const job = this.#files && isLarge && characters > 0
      ? { ...held.job, items: this.#files.addRequests(id, file, items) }
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
    for (const { text, stored } of state.held.results) {
      this.#loadedTextCharacters -= text.length;
      if (stored) this.#files?.removeText(stored);
    }
  }

  /** Counts a result; its text is written to a file if it is too large. */
  #holdResult(result: HeldResult): HeldResult {
    const { text, stored } = result;
    if (stored) {
      this.#files?.retainText(stored.file);
      return result;
    }
    const isLarge = text.length > MAXIMUM_TEXT_CHARACTERS ||
      this.#loadedTextCharacters + text.length > MAXIMUM_LOADED_TEXT_CHARACTERS;
    if (this.#files && isLarge) {
      return { ...result, text: "", stored: this.#files.addText(text) };
    }
    this.#loadedTextCharacters += text.length;
    return result;
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
    this.#settledBytes += this.#files.removeRequests(file);
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
    const result = this.#holdResult({ item, state: command.state, text });
    held.results.push(result);
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

/**
 * A result as snapshots contain it. Versions that do not know files reject a
 * result without a text.
 */
function snapshotResult(result: HeldResult) {
  const { item, state, stored } = result;
  return stored ? { item, state, stored } : result;
}

/** An item as snapshots contain it. */
function snapshotItem(item: HeldItem) {
  const { id, tokens, stored } = item;
  return stored ? { id, tokens, stored } : item;
}
