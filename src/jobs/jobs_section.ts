import { mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { match } from "ts-pattern";
import type {
  IApplyContext,
  IStateSection,
  SectionSnapshot,
} from "../consensus/mod.ts";
import { ItemState, ItemTable } from "./item_table.ts";
import {
  type InputFile,
  type ItemLease,
  type ItemOutcome,
  type ItemReference,
  type Job,
  type JobsCommand,
  type JobsOutput,
  jobsSection,
} from "./messages.ts";
import { type ILinePosition, SegmentFile } from "./segment_file.ts";

/** Attempts at an item before it is recorded as failed. */
export const MAXIMUM_ATTEMPTS = 3;

interface IFileState {
  record: InputFile;
  segment: SegmentFile;
  positions: ILinePosition[];
}

interface IJobState {
  record: Omit<Job, "counts">;
  items: ItemTable;
  results: SegmentFile;
}

/** Replicated state of batch jobs; bodies are in segment files. */
export class JobsSection
  implements
    IStateSection<typeof jobsSection.command, typeof jobsSection.output> {
  readonly definition = jobsSection;
  #folder: string;
  #files = new Map<string, IFileState>();
  #jobs = new Map<string, IJobState>();
  #jobByKey = new Map<string, string>();
  #leases = new Map<string, ItemLease>();

  /** Keeps its segment files below the given folder. */
  constructor(folder: string) {
    this.#folder = folder;
    mkdirSync(folder, { recursive: true });
  }

  get leases(): ReadonlyMap<string, ItemLease> {
    return this.#leases;
  }

  file(id: string): InputFile | undefined {
    return this.#files.get(id)?.record;
  }

  job(id: string): Job | undefined {
    const state = this.#jobs.get(id);
    return state && { ...state.record, counts: countItems(state.items) };
  }

  /** Jobs with their items counted, newest first. */
  jobs(): Job[] {
    const ids = [...this.#jobs.keys()].reverse();
    return ids.map((id) => this.job(id)).filter((job) => job !== undefined);
  }

  /** Pending items of a job, in order. */
  pendingItems(jobId: string, maximum: number): number[] {
    return this.#jobs.get(jobId)?.items.pending(maximum) ?? [];
  }

  input(jobId: string, index: number): string {
    const job = this.#jobs.get(jobId);
    const file = job && this.#files.get(job.record.fileId);
    const position = file?.positions[index];
    return file && position ? file.segment.read(position) : "";
  }

  itemState(jobId: string, index: number): ItemState | undefined {
    const items = this.#jobs.get(jobId)?.items;
    return items && index < items.size ? items.state(index) : undefined;
  }

  /** Result line of an item, if it has one. */
  resultLine(jobId: string, index: number): string | undefined {
    const job = this.#jobs.get(jobId);
    const position = job?.items.result(index);
    if (!job || !position || position.length === 0) return undefined;
    return job.results.read(position);
  }

  apply(command: JobsCommand, context: IApplyContext): JobsOutput {
    return match(command)
      .with({ kind: "open-file" }, (it) => this.#openFile(it, context))
      .with({ kind: "append-lines" }, (it) => this.#appendLines(it))
      .with({ kind: "close-file" }, (it) => this.#closeFile(it.fileId))
      .with({ kind: "submit" }, (it) => this.#submit(it, context))
      .with({ kind: "cancel" }, (it) => this.#cancel(it.jobId, context))
      .with({ kind: "grant" }, (it) => this.#grant(it))
      .with({ kind: "expire" }, (it) => this.#expire(it.leaseId, context))
      .with(
        { kind: "complete" },
        (it) => this.#complete(it.outcomes, context),
      )
      .exhaustive();
  }

  snapshot(): Promise<SectionSnapshot> {
    return Promise.reject(new Error("snapshots of jobs are not built yet"));
  }

  restore(): Promise<void> {
    return Promise.reject(new Error("snapshots of jobs are not built yet"));
  }

  reset(): Promise<void> {
    this.#files.forEach((file) => file.segment.dispose());
    this.#jobs.forEach((job) => job.results.dispose());
    this.#files.clear();
    this.#jobs.clear();
    this.#jobByKey.clear();
    this.#leases.clear();
    rmSync(this.#folder, { recursive: true, force: true });
    mkdirSync(this.#folder, { recursive: true });
    return Promise.resolve();
  }

  #openFile(
    command: JobsCommand & { kind: "open-file" },
    context: IApplyContext,
  ): JobsOutput {
    const existing = this.#files.get(command.fileId);
    if (existing) return { kind: "file", file: existing.record };
    const record: InputFile = {
      id: command.fileId,
      caller: command.caller,
      name: command.name,
      state: "open",
      lines: 0,
      bytes: 0,
      createdAt: context.proposedAt,
    };
    const path = join(this.#folder, `${command.fileId}.input`);
    const segment = new SegmentFile(path, 0);
    this.#files.set(command.fileId, { record, segment, positions: [] });
    return { kind: "file", file: record };
  }

  #appendLines(command: JobsCommand & { kind: "append-lines" }): JobsOutput {
    const file = this.#files.get(command.fileId);
    if (!file || file.record.state !== "open") {
      return { kind: "refused", reason: "no open file of this id" };
    }
    if (file.record.lines !== command.after) {
      return { kind: "file", file: file.record };
    }
    for (const line of command.lines) {
      file.positions.push(file.segment.append(line));
    }
    file.record.lines = file.positions.length;
    file.record.bytes = file.segment.length;
    return { kind: "file", file: file.record };
  }

  #closeFile(fileId: string): JobsOutput {
    const file = this.#files.get(fileId);
    if (!file) return { kind: "refused", reason: "no file of this id" };
    file.record.state = "closed";
    return { kind: "file", file: file.record };
  }

  #submit(
    command: JobsCommand & { kind: "submit" },
    context: IApplyContext,
  ): JobsOutput {
    const key = `${command.caller}/${command.key}`;
    const earlier = this.job(this.#jobByKey.get(key) ?? "");
    if (earlier) return { kind: "job", job: earlier };
    const file = this.#files.get(command.fileId);
    if (file?.record.state !== "closed") {
      return { kind: "refused", reason: "no complete file of this id" };
    }
    const { kind: _, jobId, ...fields } = command;
    const record = {
      ...fields,
      id: jobId,
      state: "running" as const,
      createdAt: context.proposedAt,
    };
    const results = new SegmentFile(join(this.#folder, `${jobId}.results`), 0);
    const items = new ItemTable(file.record.lines);
    const job: IJobState = { record, items, results };
    this.#jobs.set(jobId, job);
    this.#jobByKey.set(key, jobId);
    this.#finishIfComplete(job, context);
    return { kind: "job", job: { ...job.record, counts: countItems(items) } };
  }

  #cancel(jobId: string, context: IApplyContext): JobsOutput {
    const job = this.#jobs.get(jobId);
    if (!job) return { kind: "refused", reason: "no job of this id" };
    if (job.record.state === "running") {
      for (let index = 0; index < job.items.size; index++) {
        if (!job.items.isTerminal(index)) {
          job.items.setState(index, ItemState.cancelled);
        }
      }
      job.record.state = "cancelled";
      job.record.finishedAt = context.proposedAt;
    }
    const counts = countItems(job.items);
    return { kind: "job", job: { ...job.record, counts } };
  }

  #grant(command: JobsCommand & { kind: "grant" }): JobsOutput {
    const items: ItemReference[] = [];
    for (const { jobId, index } of command.items) {
      const table = this.#jobs.get(jobId)?.items;
      if (table?.state(index) !== ItemState.pending) continue;
      const attempt = table.attempts(index) + 1;
      table.setState(index, ItemState.leased);
      table.setAttempts(index, attempt);
      items.push({ jobId, index, attempt });
    }
    const lease = { id: command.leaseId, holder: command.holder, items };
    if (items.length > 0) this.#leases.set(lease.id, lease);
    return { kind: "lease", lease };
  }

  #expire(leaseId: string, context: IApplyContext): JobsOutput {
    const lease = this.#leases.get(leaseId);
    this.#leases.delete(leaseId);
    for (const item of lease?.items ?? []) {
      const job = this.#jobs.get(item.jobId);
      if (!job || !isHeld(job.items, item)) continue;
      const status = job.record.idempotent ? "again" : "may-have-run";
      const line = resultLine(item, "the instance running it was lost");
      this.#record({ ...item, status, line }, job, context);
    }
    return { kind: "done" };
  }

  #complete(outcomes: ItemOutcome[], context: IApplyContext): JobsOutput {
    const recorded: ItemReference[] = [];
    for (const outcome of outcomes) {
      const job = this.#jobs.get(outcome.jobId);
      if (!job || job.items.isTerminal(outcome.index)) continue;
      if (outcome.status !== "done" && !isHeld(job.items, outcome)) continue;
      this.#record(outcome, job, context);
      const { jobId, index, attempt } = outcome;
      recorded.push({ jobId, index, attempt });
    }
    this.#dropEmptyLeases();
    return { kind: "completed", recorded };
  }

  #record(outcome: ItemOutcome, job: IJobState, context: IApplyContext): void {
    const { index, attempt, line } = outcome;
    const state = match(outcome.status)
      .with("done", () => ItemState.done)
      .with("failed", () => ItemState.failed)
      .with("may-have-run", () => ItemState.mayHaveRun)
      .with("released", () => ItemState.pending)
      .with(
        "again",
        () =>
          attempt >= MAXIMUM_ATTEMPTS ? ItemState.failed : ItemState.pending,
      )
      .exhaustive();
    if (outcome.status === "released") {
      job.items.setAttempts(index, attempt - 1);
    }
    job.items.setState(index, state);
    if (state === ItemState.pending) return;
    const position = job.results.append(line);
    job.items.setResult(index, position.offset, position.length);
    this.#finishIfComplete(job, context);
  }

  #finishIfComplete(job: IJobState, context: IApplyContext): void {
    const open = job.items.count(ItemState.pending) +
      job.items.count(ItemState.leased);
    if (open > 0 || job.record.state !== "running") return;
    job.record.state = "finished";
    job.record.finishedAt = context.proposedAt;
  }

  #dropEmptyLeases(): void {
    for (const [id, lease] of this.#leases) {
      const held = lease.items.some((item) => {
        const items = this.#jobs.get(item.jobId)?.items;
        return items !== undefined && isHeld(items, item);
      });
      if (!held) this.#leases.delete(id);
    }
  }
}

function isHeld(items: ItemTable, item: ItemReference): boolean {
  return items.state(item.index) === ItemState.leased &&
    items.attempts(item.index) === item.attempt;
}

function resultLine(item: ItemReference, reason: string): string {
  const id = `${item.jobId}-${item.index}`;
  const error = { code: "may_have_run", message: reason };
  return JSON.stringify({ id, response: null, error });
}

function countItems(items: ItemTable): Job["counts"] {
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
