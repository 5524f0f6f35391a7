import { match } from "ts-pattern";
import { z } from "zod";
import {
  type IApplyContext,
  type IStateSection,
  type SectionSnapshot,
  SegmentStore,
} from "../consensus/mod.ts";
import { BatchJob, batchJobSnapshotSchema } from "./batch_job.ts";
import { EndedJobs } from "./ended_jobs.ts";
import { InputFiles, inputFilesSnapshotSchema } from "./input_files.ts";
import { ItemLeases, itemLeasesSnapshotSchema } from "./item_leases.ts";
import { ItemState } from "./item_table.ts";
import { JobRegistry } from "./job_registry.ts";
import { JobSchedule, scheduleSnapshotSchema } from "./job_schedule.ts";
import {
  type InputFile,
  type ItemOutcome,
  type ItemReference,
  type Job,
  type JobsCommand,
  type JobsOutput,
  jobsSection,
} from "./messages.ts";
import {
  MAXIMUM_FAILURES,
  RetryQueue,
  retryQueueSnapshotSchema,
} from "./retry_queue.ts";

/** Maximum number of ended jobs, and of files, dropped by one sweep. */
const MAXIMUM_DROPPED_PER_SWEEP = 500;

const snapshotSchema = z.object({
  sequence: z.number(),
  lateOutcomes: z.number(),
  files: inputFilesSnapshotSchema,
  /** In the order of submission. */
  jobs: z.array(batchJobSnapshotSchema),
  /** Ids of ended jobs, in the order in which they ended. */
  ended: z.array(z.string()),
  leases: itemLeasesSnapshotSchema,
  retries: retryQueueSnapshotSchema,
  schedule: scheduleSnapshotSchema,
});

/** Replicated state of batch jobs; the lines are in segment files. */
export class JobsSection
  implements
    IStateSection<typeof jobsSection.command, typeof jobsSection.output> {
  readonly definition = jobsSection;
  #store: SegmentStore;
  #files: InputFiles;
  #jobs = new JobRegistry();
  #ended = new EndedJobs();
  #leases = new ItemLeases();
  #retries = new RetryQueue();
  #schedule = new JobSchedule();
  #sequence = 0;
  #lateOutcomes = 0;

  /** Stores its segment files in the given folder. */
  constructor(folder: string) {
    this.#store = new SegmentStore(folder);
    this.#files = new InputFiles(this.#store);
  }

  get leases(): ItemLeases {
    return this.#leases;
  }

  /** Number of outcomes that arrived too late and were ignored. */
  get lateOutcomes(): number {
    return this.#lateOutcomes;
  }

  file(id: string): InputFile | undefined {
    return this.#files.get(id);
  }

  job(id: string): Job | undefined {
    return this.#jobs.get(id)?.view;
  }

  /** The job with access to its results. */
  batchJob(id: string): BatchJob | undefined {
    return this.#jobs.get(id);
  }

  /** Ids of a caller's jobs, newest first. */
  jobsOf(caller: string): string[] {
    return this.#jobs.idsOf(caller);
  }

  /** Input line of an item; empty when the file has been dropped. */
  input(jobId: string, index: number): string {
    const job = this.#jobs.get(jobId);
    return job ? this.#files.line(job.record.fileId, index) : "";
  }

  /** Whether the service may have items to grant. */
  hasItemsFor(service: string, now: number): boolean {
    return this.#schedule.hasJobs(service) || this.#retries.hasDue(now);
  }

  /** Whether a sweep would drop anything. */
  isSweepDue(now: number): boolean {
    return this.#files.isSweepDue(now) ||
      this.#ended.nextExpired(now) !== undefined;
  }

  apply(command: JobsCommand, context: IApplyContext): JobsOutput {
    const now = context.proposedAt;
    const output = match(command)
      .with({ kind: "open-file" }, (it) => this.#openFile(it, now))
      .with({ kind: "append-lines" }, (it) => this.#appendLines(it))
      .with({ kind: "close-file" }, (it) => this.#closeFile(it.fileId, now))
      .with({ kind: "abandon-file" }, (it) => this.#abandonFile(it.fileId))
      .with({ kind: "submit" }, (it) => this.#submit(it, now))
      .with({ kind: "cancel" }, (it) => this.#cancel(it.jobId, now))
      .with({ kind: "grant" }, (it) => this.#grant(it, now))
      .with({ kind: "expire" }, (it) => this.#expire(it.leaseId, now))
      .with({ kind: "complete" }, (it) => this.#complete(it.outcomes, now))
      .with({ kind: "sweep" }, () => this.#sweep(now))
      .exhaustive();
    this.#store.flush();
    return output;
  }

  async snapshot(): Promise<SectionSnapshot> {
    const state: z.infer<typeof snapshotSchema> = {
      sequence: this.#sequence,
      lateOutcomes: this.#lateOutcomes,
      files: this.#files.snapshot(),
      jobs: this.#jobs.all.map((job) => job.snapshot()),
      ended: this.#ended.ids,
      leases: this.#leases.snapshot(),
      retries: this.#retries.snapshot(),
      schedule: this.#schedule.snapshot(),
    };
    const { files, synced } = this.#store.snapshot();
    await synced;
    return { state, files };
  }

  restore(snapshot: SectionSnapshot): Promise<void> {
    const state = snapshotSchema.parse(snapshot.state);
    this.#clear();
    this.#store.restore(snapshot.files);
    this.#sequence = state.sequence;
    this.#lateOutcomes = state.lateOutcomes;
    this.#files.restore(state.files);
    this.#leases.restore(state.leases);
    this.#retries.restore(state.retries);
    this.#schedule.restore(state.schedule);
    for (const entry of state.jobs) {
      const job = BatchJob.restore(entry, this.#store);
      this.#jobs.add(job);
      if (job.hasAvailableItems) this.#schedule.add(job);
    }
    for (const id of state.ended) {
      const job = this.#jobs.get(id);
      if (job) this.#ended.add(job);
    }
    return Promise.resolve();
  }

  reset(): Promise<void> {
    this.#clear();
    this.#store.reset();
    return Promise.resolve();
  }

  #clear(): void {
    this.#files = new InputFiles(this.#store);
    this.#jobs = new JobRegistry();
    this.#ended = new EndedJobs();
    this.#leases = new ItemLeases();
    this.#retries = new RetryQueue();
    this.#schedule = new JobSchedule();
    this.#sequence = 0;
    this.#lateOutcomes = 0;
  }

  #openFile(
    command: JobsCommand & { kind: "open-file" },
    now: number,
  ): JobsOutput {
    return { kind: "file", file: this.#files.open(command, now) };
  }

  #appendLines(command: JobsCommand & { kind: "append-lines" }): JobsOutput {
    const file = this.#files.get(command.fileId);
    if (file?.state !== "open") return refused("not-found", "file is not open");
    this.#files.append(file, command.after, command.lines);
    return { kind: "file", file: { ...file } };
  }

  #closeFile(fileId: string, now: number): JobsOutput {
    const file = this.#files.get(fileId);
    if (!file) return refused("not-found", `file ${fileId} does not exist`);
    this.#files.close(file, now);
    return { kind: "file", file: { ...file } };
  }

  #abandonFile(fileId: string): JobsOutput {
    if (this.#files.get(fileId)?.state === "open") this.#files.drop(fileId);
    return { kind: "done" };
  }

  #submit(
    command: JobsCommand & { kind: "submit" },
    now: number,
  ): JobsOutput {
    const earlier = this.#jobs.byKey(command);
    const file = this.#files.get(command.fileId);
    if (earlier) return answerResubmission(earlier, command, file);
    if (file?.state !== "closed" || file.caller !== command.caller) {
      return refused(
        "not-found",
        `file ${command.fileId} does not exist or is incomplete`,
      );
    }
    const queued = this.#jobs.openItemsOf(command.caller);
    if (queued + file.lines > command.queuedItemsLimit) {
      const reason = `${queued} of ${command.queuedItemsLimit} items queued; ` +
        `this job has ${file.lines}`;
      return refused("limit-exceeded", reason);
    }
    const { kind: _, jobId, queuedItemsLimit: __, ...fields } = command;
    const job = new BatchJob(
      {
        ...fields,
        id: jobId,
        fileDigest: file.digest,
        state: "running",
        createdAt: now,
        sequence: ++this.#sequence,
      },
      file.lines,
      this.#store,
    );
    this.#files.retain(file.id);
    this.#jobs.add(job);
    this.#schedule.add(job);
    this.#finishIfComplete(job, now);
    return { kind: "job", job: job.view };
  }

  #cancel(jobId: string, now: number): JobsOutput {
    const job = this.#jobs.get(jobId);
    if (!job) return refused("not-found", `job ${jobId} does not exist`);
    if (job.record.state === "running") {
      this.#jobs.adjustOpenItems(job, -job.openItems);
      for (const index of job.cancelOpenItems()) {
        this.#leases.release({ jobId, index });
      }
      this.#finish(job, "cancelled", now);
    }
    return { kind: "job", job: job.view };
  }

  #grant(
    command: JobsCommand & { kind: "grant" },
    now: number,
  ): JobsOutput {
    const { leaseId, holder, service, maximum } = command;
    for (const { jobId, index } of this.#retries.takeDue(now)) {
      this.#makeAvailable(this.#jobs.get(jobId), index);
    }
    const items: ItemReference[] = [];
    while (items.length < maximum) {
      const job = this.#schedule.next(service);
      if (!job) break;
      const taken = job.leaseNext();
      if (taken) {
        const item = { jobId: job.record.id, ...taken };
        this.#leases.add(leaseId, holder, item);
        items.push(item);
      }
      if (!job.hasAvailableItems) this.#schedule.remove(job);
    }
    return { kind: "grant", grant: { leaseId, holder, items } };
  }

  #expire(leaseId: string, now: number): JobsOutput {
    for (const item of this.#leases.end(leaseId)) {
      const job = this.#jobs.get(item.jobId);
      if (!job?.isLeased(item.index, item.attempt)) continue;
      const status = job.record.idempotent ? "again" : "may-have-run";
      this.#recordOutcome({ ...item, status, line: "" }, job, now);
    }
    return { kind: "done" };
  }

  #complete(outcomes: ItemOutcome[], now: number): JobsOutput {
    const recorded: ItemReference[] = [];
    for (const outcome of outcomes) {
      const { jobId, index, attempt } = outcome;
      const job = this.#jobs.get(jobId);
      if (!job || !isRecordable(outcome, job)) {
        this.#lateOutcomes += 1;
        continue;
      }
      this.#recordOutcome(outcome, job, now);
      recorded.push({ jobId, index, attempt });
    }
    return { kind: "completed", recorded };
  }

  #recordOutcome(outcome: ItemOutcome, job: BatchJob, now: number): void {
    const { index, line, status } = outcome;
    this.#leases.release(outcome);
    const failures = job.failures(index);
    if (status === "released") {
      job.markPending(index, failures);
      this.#makeAvailable(job, index);
      return;
    }
    if (status === "again" && failures + 1 < MAXIMUM_FAILURES) {
      job.markPending(index, failures + 1);
      const options = { failures: failures + 1, now };
      this.#retries.add(job.record.id, index, options);
      return;
    }
    const state = match(status)
      .with("done", () => ItemState.done)
      .with("may-have-run", () => ItemState.mayHaveRun)
      .with("failed", "again", () => ItemState.failed)
      .exhaustive();
    job.recordResult(index, state, line);
    this.#jobs.adjustOpenItems(job, -1);
    this.#finishIfComplete(job, now);
  }

  #makeAvailable(job: BatchJob | undefined, index: number): void {
    job?.makeAvailable(index);
    if (job?.hasAvailableItems) this.#schedule.add(job);
  }

  #finishIfComplete(job: BatchJob, now: number): void {
    if (job.record.state !== "running" || job.openItems > 0) return;
    this.#finish(job, "finished", now);
  }

  #finish(job: BatchJob, state: "finished" | "cancelled", now: number): void {
    job.finish(state, now);
    this.#schedule.remove(job);
    this.#ended.add(job);
    if (!job.hasDerivedLines) this.#files.release(job.record.fileId, now);
  }

  #sweep(now: number): JobsOutput {
    this.#files.sweep(now, MAXIMUM_DROPPED_PER_SWEEP);
    for (let dropped = 0; dropped < MAXIMUM_DROPPED_PER_SWEEP; dropped++) {
      const job = this.#ended.nextExpired(now);
      if (!job) break;
      this.#removeJob(job, now);
    }
    return { kind: "done" };
  }

  #removeJob(job: BatchJob, now: number): void {
    this.#ended.remove(job);
    this.#jobs.remove(job);
    if (job.hasDerivedLines) this.#files.release(job.record.fileId, now);
    job.removeFiles();
  }
}

/**
 * True for a first completion by any attempt, else only for the current holder.
 */
function isRecordable(outcome: ItemOutcome, job: BatchJob): boolean {
  const state = job.state(outcome.index);
  const open = state === ItemState.pending || state === ItemState.leased;
  if (outcome.status === "done") return open;
  return job.isLeased(outcome.index, outcome.attempt);
}

/** Answers a submission whose key was used before. */
function answerResubmission(
  job: BatchJob,
  command: JobsCommand & { kind: "submit" },
  file: InputFile | undefined,
): JobsOutput {
  const sameFile = job.record.fileId === command.fileId ||
    (file?.caller === command.caller && file.digest === job.record.fileDigest);
  if (sameFile && job.record.fingerprint === command.fingerprint) {
    return { kind: "job", job: job.view };
  }
  return refused("conflict", `key ${command.key} was used for a different job`);
}

function refused(
  code: Extract<JobsOutput, { kind: "refused" }>["code"],
  reason: string,
): JobsOutput {
  return { kind: "refused", code, reason };
}
