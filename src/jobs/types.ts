import type { Result } from "neverthrow";
import type { Failure } from "../common/mod.ts";
import type { IDeadlineOptions } from "../consensus/mod.ts";
import type { InputFile, Job } from "./messages.ts";

/** A batch job that a caller submits. */
export interface IJobSubmission {
  readonly caller: string;
  /** The same key of the same caller names the same job. */
  readonly key: string;
  readonly fileId: string;
  readonly service: string;
  readonly endpoint: "/v1/chat/completions" | "/v1/completions";
  readonly idempotent: boolean;
  /** Milliseconds since the Unix epoch. */
  readonly deadlineAt: number;
  readonly metadata: Readonly<Record<string, string>>;
}

/** One page of result lines. */
export interface IResultPage {
  readonly lines: readonly string[];
  /** First item of the next page; undefined after the last page. */
  readonly next: number | undefined;
}

/** Files and jobs, as the callers' edge uses them. */
export interface IJobGateway {
  /** Stores an input file; durable once it resolves. */
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
    },
  ): Promise<Result<IResultPage, Failure>>;
}
