import { z } from "zod";
import { Emitter } from "../common/mod.ts";
import type {
  IApplyContext,
  IStateSection,
  SectionSnapshot,
} from "../consensus/mod.ts";
import {
  type BulkCommand,
  bulkSection,
  type ProgressDelta,
} from "./messages.ts";
import {
  type BulkItem,
  type BulkJob,
  type HeldJob,
  heldJobSchema,
  type ItemProgress,
} from "./types.ts";

const snapshotSchema = z.array(heldJobSchema);

type RecordCommand = Extract<BulkCommand, { kind: "record" }>;

/** A job with indices over its items. */
class IndexedJob {
  readonly held: HeldJob;
  readonly items: Map<string, BulkItem>;
  readonly withResult: Set<string>;
  /** Tokens of the items that still wait for a result. */
  waitingTokens: number;

  constructor(held: HeldJob) {
    this.held = held;
    this.items = new Map(held.job.items.map((item) => [item.id, item]));
    this.withResult = new Set(held.results.map(({ item }) => item));
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
    const stripped = { ...item, headers: {}, body: "" };
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
  #jobs = new Map<string, IndexedJob>();
  #settledTokens = 0;
  #changed = new Emitter<string>();
  /** Fires with the identifier of a job that has changed. */
  readonly onChanged = this.#changed.event;

  apply(command: BulkCommand, context: IApplyContext) {
    if (command.kind === "progress") {
      for (const delta of command.deltas) this.#appendProgress(delta);
      return { isKnown: true };
    }
    if (command.kind === "forget") {
      for (const id of command.jobs) this.#jobs.delete(id);
      return { isKnown: true };
    }
    const id = command.kind === "submit" ? command.job.id : command.job;
    const state = this.#jobs.get(id);
    if (command.kind === "submit" && !state) {
      const held = {
        job: copyJob(command.job),
        acceptedAt: context.proposedAt,
        results: [],
        progress: [],
        hasEnded: false,
      };
      this.#jobs.set(id, new IndexedJob(held));
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
  findOpenItem(job: string, item: string): BulkItem | undefined {
    const state = this.#jobs.get(job);
    if (!state || state.held.hasEnded) return undefined;
    return state.withResult.has(item) ? undefined : state.items.get(item);
  }

  /** Progress of an item without a result, as committed to the log. */
  progress(job: string, item: string): ItemProgress | undefined {
    const held = this.#jobs.get(job)?.held;
    return held?.progress.find((progress) => progress.item === item);
  }

  hasResult(job: string, item: string): boolean {
    return this.#jobs.get(job)?.withResult.has(item) ?? false;
  }

  snapshot(): Promise<SectionSnapshot> {
    const state = [...this.#jobs.values()].map(({ held }) => ({
      ...held,
      job: copyJob(held.job),
      results: [...held.results],
      progress: held.progress.map((it) => ({ ...it, data: [...it.data] })),
    }));
    return Promise.resolve({ state, files: [] });
  }

  async restore(snapshot: SectionSnapshot): Promise<void> {
    await this.reset();
    for (const held of snapshotSchema.parse(snapshot.state)) {
      this.#jobs.set(held.job.id, new IndexedJob(held));
    }
  }

  reset(): Promise<void> {
    this.#jobs.clear();
    return Promise.resolve();
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
    this.#settle(state, items.get(item)?.tokens ?? 0);
    held.results.push({ item, state: command.state, text });
    held.progress = held.progress.filter((it) => it.item !== item);
    state.dropRequest(item);
    return true;
  }

  #settle(state: IndexedJob, tokens: number): void {
    state.waitingTokens -= tokens;
    this.#settledTokens += tokens;
  }

  #end(state: IndexedJob): void {
    state.held.hasEnded = true;
    this.#settle(state, state.waitingTokens);
    state.held.progress = [];
    for (const { id } of state.held.job.items) state.dropRequest(id);
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
