import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
  earlierDeadline,
  type Failure,
  type IClock,
  notRun,
} from "../common/mod.ts";
import type { IControlClient, IDeadlineOptions } from "../consensus/mod.ts";
import type { IRpcMethod } from "../rpc/mod.ts";
import { InputChecker } from "./input_line.ts";
import {
  type InputFile,
  type Job,
  type JobsCommand,
  type JobsOutput,
  jobsSection,
  listJobsMethod,
  readFileMethod,
  readJobMethod,
  readResultsMethod,
} from "./messages.ts";
import type { IJobGateway, IJobSubmission, IResultPage } from "./types.ts";

/** Characters of input lines after which they are sent in one command. */
const CHUNK_CHARACTERS = 256 * 1024;

/** Timeout of one call before it is retried, in milliseconds. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 2_500;

/** Pause before a call is retried, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 50;

/** Retry delay for a caller over its limit of items, in seconds. */
const LIMIT_RETRY_AFTER_SECONDS = 30;

/** Accesses files and jobs through the leader of the replicated log. */
export class JobGateway implements IJobGateway {
  #control: IControlClient;
  #clock: IClock;

  constructor(control: IControlClient, clock: IClock) {
    this.#control = control;
    this.#clock = clock;
  }

  async storeFile(
    caller: string,
    name: string,
    options: IDeadlineOptions & { lines: AsyncIterable<string> },
  ): Promise<Result<InputFile, Failure>> {
    const fileId = `file-${randomUUID()}`;
    const opened = await this.#propose(
      { kind: "open-file", fileId, caller, name },
      options,
    );
    if (opened.isErr()) return err(opened.error);
    const appended = await this.#appendAll(fileId, options);
    if (appended.isErr()) {
      await this.#propose({ kind: "abandon-file", fileId }, options);
      return err(appended.error);
    }
    const closed = await this.#propose({ kind: "close-file", fileId }, options);
    return closed.andThen(expectFile);
  }

  async file(
    caller: string,
    fileId: string,
    options: IDeadlineOptions,
  ): Promise<Result<InputFile, Failure>> {
    const answer = await this.#read(readFileMethod, { fileId }, options);
    return answer.andThen(({ file }) =>
      file?.caller === caller
        ? ok(file)
        : err(notRun("not-found", `file ${fileId} does not exist`))
    );
  }

  async submit(
    submission: IJobSubmission,
    options: IDeadlineOptions,
  ): Promise<Result<Job, Failure>> {
    const submitted = await this.#propose({
      kind: "submit",
      jobId: `batch_${randomUUID()}`,
      ...submission,
      metadata: { ...submission.metadata },
    }, options);
    return submitted.andThen(expectJob);
  }

  async job(
    caller: string,
    jobId: string,
    options: IDeadlineOptions,
  ): Promise<Result<Job, Failure>> {
    const answer = await this.#read(readJobMethod, { jobId }, options);
    return answer.andThen(({ job }) =>
      job?.caller === caller
        ? ok(job)
        : err(notRun("not-found", `job ${jobId} does not exist`))
    );
  }

  async jobs(
    caller: string,
    options: IDeadlineOptions & { after?: string; limit: number },
  ): Promise<Result<{ jobs: Job[]; more: boolean }, Failure>> {
    const { after, limit } = options;
    const params = { caller, after, limit };
    return await this.#read(listJobsMethod, params, options);
  }

  async cancel(
    caller: string,
    jobId: string,
    options: IDeadlineOptions,
  ): Promise<Result<Job, Failure>> {
    const job = await this.job(caller, jobId, options);
    if (job.isErr()) return err(job.error);
    const cancelled = await this.#propose({ kind: "cancel", jobId }, options);
    return cancelled.andThen(expectJob);
  }

  async results(
    caller: string,
    jobId: string,
    options: IDeadlineOptions & {
      from: number;
      limit: number;
      kind: "output" | "error" | "all";
      order: "completion" | "item";
    },
  ): Promise<Result<IResultPage, Failure>> {
    const job = await this.job(caller, jobId, options);
    if (job.isErr()) return err(job.error);
    const { from, limit, kind, order } = options;
    const params = { jobId, from, limit, kind, order };
    const page = await this.#read(readResultsMethod, params, options);
    return page.map(({ lines, next, position }) => ({ lines, next, position }));
  }

  async #appendAll(
    fileId: string,
    options: IDeadlineOptions & { lines: AsyncIterable<string> },
  ): Promise<Result<void, Failure>> {
    const checker = new InputChecker();
    let chunk: string[] = [];
    let characters = 0;
    try {
      for await (const line of options.lines) {
        const checked = checker.check(line);
        if (checked.isErr()) return err(notRun("bad-request", checked.error));
        chunk.push(line);
        characters += line.length;
        if (characters < CHUNK_CHARACTERS) continue;
        const after = checker.lines - chunk.length;
        const flushed = await this.#append(fileId, chunk, {
          ...options,
          after,
        });
        if (flushed.isErr()) return err(flushed.error);
        chunk = [];
        characters = 0;
      }
    } catch (error) {
      return err(notRun("bad-request", `upload was interrupted: ${error}`));
    }
    if (checker.lines === 0) {
      return err(notRun("bad-request", "the file has no lines"));
    }
    const after = checker.lines - chunk.length;
    return await this.#append(fileId, chunk, { ...options, after });
  }

  async #append(
    fileId: string,
    lines: string[],
    options: IDeadlineOptions & { after: number },
  ): Promise<Result<void, Failure>> {
    const { after } = options;
    const command = { kind: "append-lines" as const, fileId, after, lines };
    const appended = await this.#propose(command, options);
    return appended.andThen(expectFile).andThen((file) =>
      file.lines === after + lines.length ? ok() : err(
        notRun(
          "conflict",
          `file ${fileId} has an unexpected number of lines`,
        ),
      )
    );
  }

  async #propose(
    command: JobsCommand,
    options: IDeadlineOptions,
  ): Promise<Result<JobsOutput, Failure>> {
    const output = await this.#retry(
      options,
      (attempt) => this.#control.propose(jobsSection, command, attempt),
    );
    return output.andThen(toResult);
  }

  #read<P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    params: z.infer<P>,
    options: IDeadlineOptions,
  ): Promise<Result<z.infer<R>, Failure>> {
    return this.#retry(
      options,
      (attempt) => this.#control.call(method, params, attempt),
    );
  }

  /** Sends a read or a command, which are idempotent, until it is answered. */
  async #retry<T>(
    options: IDeadlineOptions,
    send: (attempt: IDeadlineOptions) => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Failure>> {
    for (;;) {
      const attempt = this.#clock.deadlineIn(ATTEMPT_TIMEOUT_MILLISECONDS);
      const deadline = earlierDeadline(attempt, options.deadline);
      const answer = await send({ deadline });
      if (answer.isOk() || !isRetryable(answer.error)) return answer;
      if (this.#clock.isPast(options.deadline)) return answer;
      const pause = this.#clock.deadlineIn(RETRY_DELAY_MILLISECONDS);
      await this.#clock.sleepUntil(pause);
    }
  }
}

function isRetryable(failure: Failure): boolean {
  return ["deadline-exceeded", "unavailable", "not-leader"]
    .includes(failure.code);
}

function toResult(output: JobsOutput): Result<JobsOutput, Failure> {
  if (output.kind !== "refused") return ok(output);
  const retryAfterSeconds = output.code === "limit-exceeded"
    ? LIMIT_RETRY_AFTER_SECONDS
    : undefined;
  return err(notRun(output.code, output.reason, { retryAfterSeconds }));
}

function expectFile(output: JobsOutput): Result<InputFile, Failure> {
  if (output.kind === "file") return ok(output.file);
  return err(notRun("internal", `unexpected command output: ${output.kind}`));
}

function expectJob(output: JobsOutput): Result<Job, Failure> {
  if (output.kind === "job") return ok(output.job);
  return err(notRun("internal", `unexpected command output: ${output.kind}`));
}
