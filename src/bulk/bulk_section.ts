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
  type BulkResult,
  type HeldJob,
  heldJobSchema,
  type ItemProgress,
} from "./types.ts";

const snapshotSchema = z.array(heldJobSchema);

/** A job with indices over its items. */
class JobState {
  readonly held: HeldJob;
  readonly items: Map<string, BulkItem>;
  readonly listed: Set<string>;

  constructor(held: HeldJob) {
    this.held = held;
    this.items = new Map(held.job.items.map((item) => [item.id, item]));
    this.listed = new Set(held.results.map(({ item }) => item));
  }
}

/** Replicated jobs with their items and results. */
export class BulkSection implements
  IStateSection<
    typeof bulkSection.command,
    typeof bulkSection.output
  > {
  readonly definition = bulkSection;
  #jobs = new Map<string, JobState>();
  #changed = new Emitter<string>();
  /** Fires with the identifier of a job that has changed. */
  readonly onChanged = this.#changed.event;

  apply(command: BulkCommand, context: IApplyContext) {
    if (command.kind === "progress") {
      for (const delta of command.deltas) this.#advance(delta);
      return { isKnown: true };
    }
    const id = command.kind === "submit" ? command.job.id : command.job;
    const state = this.#jobs.get(id);
    if (command.kind === "submit" && !state) {
      const held = {
        job: command.job,
        acceptedAt: context.proposedAt,
        results: [],
        progress: [],
        hasEnded: false,
      };
      this.#jobs.set(id, new JobState(held));
    } else if (command.kind === "record" && state) {
      this.#record(state, command.result);
    } else if (command.kind === "end" && state) {
      state.held.hasEnded = true;
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
      .filter(({ held, items, listed }) =>
        !held.hasEnded && listed.size < items.size
      )
      .map(({ held }) => held);
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

  item(job: string, item: string): BulkItem | undefined {
    return this.#jobs.get(job)?.items.get(item);
  }

  /** How far an item without a result has come, as far as it is written. */
  progress(job: string, item: string): ItemProgress | undefined {
    const held = this.#jobs.get(job)?.held;
    return held?.progress.find((progress) => progress.item === item);
  }

  isListed(job: string, item: string): boolean {
    return this.#jobs.get(job)?.listed.has(item) ?? false;
  }

  snapshot(): Promise<SectionSnapshot> {
    const state = [...this.#jobs.values()].map(({ held }) => ({
      ...held,
      results: [...held.results],
      progress: held.progress.map((it) => ({ ...it, data: [...it.data] })),
    }));
    return Promise.resolve({ state, files: [] });
  }

  async restore(snapshot: SectionSnapshot): Promise<void> {
    await this.reset();
    for (const held of snapshotSchema.parse(snapshot.state)) {
      this.#jobs.set(held.job.id, new JobState(held));
    }
  }

  reset(): Promise<void> {
    this.#jobs.clear();
    return Promise.resolve();
  }

  /** The first result of an item stands; items of other jobs are no part. */
  #record(state: JobState, result: BulkResult): void {
    const { items, listed, held } = state;
    if (!items.has(result.item) || listed.has(result.item)) return;
    listed.add(result.item);
    held.results.push(result);
    held.progress = held.progress.filter(({ item }) => item !== result.item);
  }

  /** Takes in what follows on what is held; anything else is passed over. */
  #advance(delta: ProgressDelta): void {
    const { job, item, from, data, lastEventId } = delta;
    const state = this.#jobs.get(job);
    if (!state || state.listed.has(item) || !state.items.has(item)) return;
    const { held } = state;
    const known = held.progress.find((it) => it.item === item);
    const before = known?.data ?? [];
    if (from > before.length) return;
    const next = {
      item,
      data: [...before.slice(0, from), ...data],
      lastEventId,
    };
    held.progress = [...held.progress.filter((it) => it !== known), next];
  }
}
