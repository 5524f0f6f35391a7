import type { Result } from "neverthrow";
import type { Failure } from "../common/mod.ts";
import type { IDeadlineOptions } from "../consensus/mod.ts";
import type { InputFile, Job } from "./messages.ts";

/** A batch job that a caller submits. */
export interface IJobSubmission {
  readonly caller: string;
  /** The same key of the same caller names the same job. */
  readonly key: string;
  /** Digest of what was asked for, without the file. */
  readonly fingerprint: string;
  readonly fileId: string;
  readonly service: string;
  readonly endpoint: "/v1/chat/completions" | "/v1/completions";
  readonly idempotent: boolean;
  /** Milliseconds since the Unix epoch. */
  readonly deadlineAt: number;
  readonly metadata: Readonly<Record<string, string>>;
  /** Unfinished items that the caller may have over all its jobs. */
  readonly queuedItemsLimit: number;
}

/** One page of result lines. */
export interface IResultPage {
  readonly lines: readonly string[];
  /** Where the next page begins; undefined at the end of what there is. */
  readonly next: number | undefined;
  /** Where this page ends; a running job may go on from there later. */
  readonly position: number;
}

/** Files and jobs, as the callers' edge uses them. */
export interface IJobGateway {
  /**
   * Stores an input file; durable once it resolves. Fails with `bad-request`
   * and the number of the line when a line is no valid request.
   */
  storeFile(
    caller: string,
    name: string,
    options: IDeadlineOptions & { lines: AsyncIterable<string> },
  ): Promise<Result<InputFile, Failure>>;
  file(
    caller: string,
    fileId: string,
    options: IDeadlineOptions,
  ): Promise<Result<InputFile, Failure>>;
  /** Submits a job; the same key and content give the same job again. */
  submit(
    submission: IJobSubmission,
    options: IDeadlineOptions,
  ): Promise<Result<Job, Failure>>;
  job(
    caller: string,
    jobId: string,
    options: IDeadlineOptions,
  ): Promise<Result<Job, Failure>>;
  jobs(
    caller: string,
    options: IDeadlineOptions & { after?: string; limit: number },
  ): Promise<Result<{ jobs: Job[]; more: boolean }, Failure>>;
  cancel(
    caller: string,
    jobId: string,
    options: IDeadlineOptions,
  ): Promise<Result<Job, Failure>>;
  results(
    caller: string,
    jobId: string,
    options: IDeadlineOptions & {
      from: number;
      limit: number;
      kind: "output" | "error" | "all";
      order: "completion" | "item";
    },
  ): Promise<Result<IResultPage, Failure>>;
}
