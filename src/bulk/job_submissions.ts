import { err, ok, type Result } from "neverthrow";
import {
  ByteBudget,
  type Deadline,
  type Failure,
  notRun,
} from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { BulkSection } from "./bulk_section.ts";
import {
  jobAccepted,
  jobRefused,
  jobWithoutSpace,
  submissionsBusy,
} from "./events.ts";
import { bulkSection } from "./messages.ts";
import type {
  ISpaceRefusal,
  RequestSpaceLimiter,
} from "./request_space_limiter.ts";
import { type BulkJob, type HeldJob, requestCharacters } from "./types.ts";
import type { IRefusal, WaitingTokenLimiter } from "./waiting_token_limiter.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Size of the jobs that are being committed, in characters. Each is in memory
 * several times: as an entry, as a record for the disk and in a message to each
 * peer.
 */
const MAXIMUM_SUBMISSION_CHARACTERS = 16 * 1024 * 1024;

/** Delay before the retry of a job that found no room, in seconds. */
const SUBMISSION_RETRY_SECONDS = 0.5;

type SubmissionResult = Result<Record<string, never>, Failure>;

/** Dependencies of `JobSubmissions`. */
export interface IJobSubmissionsOptions {
  readonly log: IReplicatedLog;
  readonly section: BulkSection;
  readonly limiter: WaitingTokenLimiter;
  readonly space: RequestSpaceLimiter;
  readonly events: IEventLog;
  /** Whether a job belongs to the caller that asks for it. */
  readonly isOwn: (held: HeldJob, caller: string | undefined) => boolean;
}

/** Decides on submitted jobs and commits them, on the leader. */
export class JobSubmissions {
  #options: IJobSubmissionsOptions;
  #budget = new ByteBudget(MAXIMUM_SUBMISSION_CHARACTERS);

  constructor(options: IJobSubmissionsOptions) {
    this.#options = options;
  }

  /** Accepts a job; submitting it again succeeds without effect. */
  async submit(
    job: BulkJob,
    options: { deadline: Deadline },
  ): Promise<SubmissionResult> {
    const { section, events } = this.#options;
    // A job that was accepted is acknowledged again, however busy the store.
    if (section.job(job.id)) return await this.#submit(job, options);
    const bytes = requestCharacters(job.items);
    if (!this.#budget.tryTake(bytes)) {
      events.emit(submissionsBusy, { request: job.id, bytes });
      const reason = "too many jobs are being submitted at the same time";
      return err(notRun("overloaded", reason, {
        retryAfterSeconds: SUBMISSION_RETRY_SECONDS,
      }));
    }
    try {
      return await this.#submit(job, options);
    } finally {
      this.#budget.release(bytes);
    }
  }

  async #submit(
    job: BulkJob,
    options: { deadline: Deadline },
  ): Promise<SubmissionResult> {
    const { log, section, limiter, space, events, isOwn } = this.#options;
    // The barrier makes the state include every job that was acknowledged,
    // also by the leaders of earlier terms.
    const confirmed = await log.barrier({ ...options, requiresQuorum: true });
    if (confirmed.isErr()) return err(confirmed.error);
    const { term } = log.leadership;
    const decision = limiter.decide(job, term);
    if (decision.kind === "known") {
      const known = section.job(job.id);
      if (known && isOwn(known, job.caller)) return ok({});
      const reason = "another job has this identifier";
      return err(notRun("conflict", reason));
    }
    if (decision.kind === "refused") {
      const { refusal } = decision;
      events.emit(jobRefused, { request: job.id, ...refusal });
      return err(limitFailure(refusal));
    }
    const spaceRefusal = space.findRefusal(job, term);
    if (spaceRefusal) {
      limiter.release(job.id);
      events.emit(jobWithoutSpace, { request: job.id, ...spaceRefusal });
      return err(spaceFailure(spaceRefusal));
    }
    const command = { kind: "submit", job };
    const done = await log.propose(bulkSection.name, command, options);
    if (done.isErr()) {
      if (done.error.verdict === "not-run") {
        limiter.release(job.id);
        space.release(job.id);
      }
      return err(done.error);
    }
    events.emit(jobAccepted, {
      request: job.id,
      items: job.items.length,
      path: job.path,
    });
    return ok({});
  }
}

/** Describes why a job was refused; it provably does not run. */
function limitFailure(refusal: IRefusal): Failure {
  const { route, tokens, waitingTokens, limit, retryMilliseconds } = refusal;
  const reason = `the job has ${tokens} tokens; ${waitingTokens} of ` +
    `${limit} tokens already wait on route ${route}`;
  const retryAfterSeconds = retryMilliseconds === undefined
    ? undefined
    : retryMilliseconds / MILLISECONDS_PER_SECOND;
  return notRun("limit-exceeded", reason, { retryAfterSeconds });
}

/** The same for a job for which stores have no space. */
function spaceFailure(refusal: ISpaceRefusal): Failure {
  const { bytes, usedBytes, maximumBytes, retryMilliseconds } = refusal;
  const { items, waitingItems, maximumItems } = refusal;
  const reason = `the job has ${items} items and ${bytes} bytes; ` +
    `${waitingItems} of ${maximumItems} items and ${usedBytes} of ` +
    `${maximumBytes} bytes are used by jobs that wait`;
  if (retryMilliseconds === undefined) return notRun("too-large", reason);
  const retryAfterSeconds = retryMilliseconds / MILLISECONDS_PER_SECOND;
  return notRun("limit-exceeded", reason, { retryAfterSeconds });
}
