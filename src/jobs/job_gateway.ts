import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { type Failure, notRun } from "../common/mod.ts";
import type { IControlClient, IDeadlineOptions } from "../consensus/mod.ts";
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

/** Characters of input lines that are committed together. */
const CHUNK_CHARACTERS = 256 * 1024;

/** Reaches files and jobs at the log's leader. */
export class JobGateway implements IJobGateway {
  #control: IControlClient;

  constructor(control: IControlClient) {
    this.#control = control;
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
    if (appended.isErr()) return err(appended.error);
    const closed = await this.#propose({ kind: "close-file", fileId }, options);
    return closed.andThen(expectFile);
  }

  async file(
    caller: string,
    fileId: string,
    options: IDeadlineOptions,
  ): Promise<Result<InputFile, Failure>> {
    const answer = await this.#control.call(
      readFileMethod,
      { fileId },
      options,
    );
    return answer.andThen(({ file }) =>
      file?.caller === caller
        ? ok(file)
        : err(notRun("not-found", `no file ${fileId}`))
    );
  }

  async submit(
    submission: IJobSubmission,
    options: IDeadlineOptions,
  ): Promise<Result<Job, Failure>> {
    const file = await this.file(submission.caller, submission.fileId, options);
    if (file.isErr()) return err(file.error);
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
    const answer = await this.#control.call(readJobMethod, { jobId }, options);
    return answer.andThen(({ job }) =>
      job?.caller === caller
        ? ok(job)
        : err(notRun("not-found", `no job ${jobId}`))
    );
  }

  async jobs(
    caller: string,
    options: IDeadlineOptions & { after?: string; limit: number },
  ): Promise<Result<{ jobs: Job[]; more: boolean }, Failure>> {
    const { after, limit } = options;
    const params = { caller, after, limit };
    return await this.#control.call(listJobsMethod, params, options);
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
    },
  ): Promise<Result<IResultPage, Failure>> {
    const job = await this.job(caller, jobId, options);
    if (job.isErr()) return err(job.error);
    const { from, limit, kind } = options;
    const params = { jobId, from, limit, kind };
    const page = await this.#control.call(readResultsMethod, params, options);
    return page.map(({ lines, next }) => ({ lines, next }));
  }

  async #appendAll(
    fileId: string,
    options: IDeadlineOptions & { lines: AsyncIterable<string> },
  ): Promise<Result<void, Failure>> {
    let after = 0;
    let chunk: string[] = [];
    let characters = 0;
    const flush = async (): Promise<Result<JobsOutput, Failure>> => {
      const command = { kind: "append-lines" as const, fileId, after };
      const appended = await this.#propose(
        { ...command, lines: chunk },
        options,
      );
      after += chunk.length;
      chunk = [];
      characters = 0;
      return appended;
    };
    for await (const line of options.lines) {
      chunk.push(line);
      characters += line.length;
      if (characters < CHUNK_CHARACTERS) continue;
      const flushed = await flush();
      if (flushed.isErr()) return err(flushed.error);
    }
    if (chunk.length === 0) return ok(undefined);
    return (await flush()).map(() => undefined);
  }

  async #propose(
    command: JobsCommand,
    options: IDeadlineOptions,
  ): Promise<Result<JobsOutput, Failure>> {
    const output = await this.#control.propose(jobsSection, command, options);
    return output.andThen((value) =>
      value.kind === "refused"
        ? err(notRun("bad-request", value.reason))
        : ok(value)
    );
  }
}

function expectFile(output: JobsOutput): Result<InputFile, Failure> {
  if (output.kind === "file") return ok(output.file);
  return err(notRun("internal", `unexpected output ${output.kind}`));
}

function expectJob(output: JobsOutput): Result<Job, Failure> {
  if (output.kind === "job") return ok(output.job);
  return err(notRun("internal", `unexpected output ${output.kind}`));
}
