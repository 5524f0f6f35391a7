import type { Result } from "neverthrow";
import type { Failure } from "../common/mod.ts";
import type { IDeadlineOptions } from "../consensus/mod.ts";
import type { InputFile, Job } from "./messages.ts";

/** A batch job that a caller submits. */
export interface IJobSubmission {
  readonly caller: string;
  /** Idempotency key; identifies one job of the caller. */
  readonly key: string;
  /** Digest of the request, without the file. */
  readonly fingerprint: string;
  readonly fileId: string;
  readonly service: string;
  readonly endpoint: "/v1/chat/completions" | "/v1/completions";
  readonly idempotent: boolean;
  /** Milliseconds since the Unix epoch. */
  readonly deadlineAt: number;
  readonly metadata: Readonly<Record<string, string>>;
  /** Maximum number of unfinished items in all jobs of the caller. */
  readonly queuedItemsLimit: number;
}

/** One page of result lines. */
export interface IResultPage {
  readonly lines: readonly string[];
  /** Position of the next page; undefined after the last recorded result. */
  readonly next: number | undefined;
  /** End of this page; later results of a running job start here. */
  readonly position: number;
}

/** Access to files and jobs for the endpoints that callers use. */
export interface IJobGateway {
  /**
   * Stores an input file, which is durable once the promise resolves. Fails
   * with `bad-request` and the line number when a line is not valid.
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
  /** Submits a job; repeating the key and content returns the same job. */
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
