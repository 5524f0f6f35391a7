import { createHash } from "node:crypto";
import { z } from "zod";
import { type IClock, notRun } from "../common/mod.ts";
import type { IJobGateway, Job } from "../jobs/mod.ts";
import { readJsonBody } from "./read_body.ts";
import { sendFailure, sendJson } from "./respond.ts";
import type { ICallerRequest, IEndpoint } from "./types.ts";

/** Timeout of an operation on a job, in milliseconds. */
const JOB_TIMEOUT_MILLISECONDS = 15_000;

/** Number of jobs on a page without the parameter `limit`. */
const DEFAULT_PAGE_SIZE = 20;

const MILLISECONDS_PER_HOUR = 3_600_000;

const JOB_PATH = /^\/v1\/batches\/([^/]+)$/;
const CANCEL_PATH = /^\/v1\/batches\/([^/]+)\/cancel$/;

const submissionSchema = z.object({
  input_file_id: z.string(),
  endpoint: z.enum(["/v1/chat/completions", "/v1/completions"]),
  completion_window: z.string().regex(/^\d+h$/, "must be hours, such as 24h"),
  metadata: z.record(z.string(), z.string()).nullish(),
  /**
   * Model of the service to use. Without it, the first service that allows the
   * caller batch jobs is used.
   */
  model: z.string().optional(),
});
type Submission = z.infer<typeof submissionSchema>;

/** Endpoint to submit, read, list and cancel batch jobs. */
export class BatchesEndpoint implements IEndpoint {
  #jobs: IJobGateway;
  #clock: IClock;

  constructor(jobs: IJobGateway, clock: IClock) {
    this.#jobs = jobs;
    this.#clock = clock;
  }

  matches(method: string, path: string): boolean {
    if (method === "POST") {
      return path === "/v1/batches" || CANCEL_PATH.test(path);
    }
    return method === "GET" && (path === "/v1/batches" || JOB_PATH.test(path));
  }

  async handle(request: ICallerRequest): Promise<void> {
    const path = request.url.pathname;
    const cancelId = CANCEL_PATH.exec(path)?.[1];
    const readId = JOB_PATH.exec(path)?.[1];
    if (cancelId) return await this.#cancel(request, cancelId);
    if (readId) return await this.#read(request, readId);
    if (request.message.method === "POST") return await this.#submit(request);
    await this.#list(request);
  }

  async #submit(request: ICallerRequest): Promise<void> {
    const body = await readJsonBody(request.message, submissionSchema);
    if (body.isErr()) return sendFailure(request.response, body.error);
    const service = findBatchService(request, body.value);
    if (!service) {
      const reason = "no model service allows this batch job for the caller";
      return sendFailure(request.response, notRun("forbidden", reason));
    }
    const hours = Number(body.value.completion_window.slice(0, -1));
    const key = request.message.headers["idempotency-key"];
    const idempotent =
      request.message.headers["figroad-idempotent"] !== "false";
    const submitted = await this.#jobs.submit({
      caller: request.caller.name,
      key: typeof key === "string" ? key : request.id,
      fingerprint: fingerprintOf(body.value, idempotent),
      fileId: body.value.input_file_id,
      service,
      endpoint: body.value.endpoint,
      idempotent,
      deadlineAt: this.#clock.wall() + hours * MILLISECONDS_PER_HOUR,
      metadata: body.value.metadata ?? {},
      queuedItemsLimit: request.caller.limits.queuedItems,
    }, this.#deadline());
    submitted.match(
      (job) => sendJson(request.response, 200, toBatchObject(job)),
      (failure) => sendFailure(request.response, failure),
    );
  }

  async #read(request: ICallerRequest, id: string): Promise<void> {
    const { name } = request.caller;
    const job = await this.#jobs.job(name, id, this.#deadline());
    job.match(
      (job) => sendJson(request.response, 200, toBatchObject(job)),
      (failure) => sendFailure(request.response, failure),
    );
  }

  async #cancel(request: ICallerRequest, id: string): Promise<void> {
    const { name } = request.caller;
    const job = await this.#jobs.cancel(name, id, this.#deadline());
    job.match(
      (job) => sendJson(request.response, 200, toBatchObject(job)),
      (failure) => sendFailure(request.response, failure),
    );
  }

  async #list(request: ICallerRequest): Promise<void> {
    const query = request.url.searchParams;
    const page = await this.#jobs.jobs(request.caller.name, {
      ...this.#deadline(),
      after: query.get("after") ?? undefined,
      limit: Math.min(100, Number(query.get("limit")) || DEFAULT_PAGE_SIZE),
    });
    page.match(
      ({ jobs, more }) =>
        sendJson(request.response, 200, {
          object: "list",
          data: jobs.map(toBatchObject),
          has_more: more,
        }),
      (failure) => sendFailure(request.response, failure),
    );
  }

  #deadline() {
    return { deadline: this.#clock.deadlineIn(JOB_TIMEOUT_MILLISECONDS) };
  }
}

function findBatchService(
  request: ICallerRequest,
  submission: Submission,
): string | undefined {
  const grants = request.configuration.grantsOf(request.caller.name)
    .filter(({ rule, service }) =>
      rule.batch &&
      (submission.model === undefined || service.model === submission.model)
    );
  return grants[0]?.service.name;
}

/** Digest of the options of a submission, without the ID of its file. */
function fingerprintOf(submission: Submission, idempotent: boolean): string {
  const { endpoint, completion_window, model, metadata } = submission;
  const entries = Object.entries(metadata ?? {}).sort();
  const fields = [endpoint, completion_window, model, entries, idempotent];
  return createHash("sha256").update(JSON.stringify(fields)).digest("hex");
}

function toBatchObject(job: Job): object {
  const toSeconds = (at: number | undefined) =>
    at === undefined ? null : Math.floor(at / 1_000);
  const status = job.state === "finished"
    ? "completed"
    : job.state === "cancelled"
    ? "cancelled"
    : "in_progress";
  const { counts } = job;
  const failed = counts.failed + counts.cancelled + counts.mayHaveRun;
  return {
    id: job.id,
    object: "batch",
    endpoint: job.endpoint,
    input_file_id: job.fileId,
    completion_window: `${
      Math.round((job.deadlineAt - job.createdAt) / MILLISECONDS_PER_HOUR)
    }h`,
    status,
    output_file_id: counts.done > 0 ? `output-${job.id}` : null,
    error_file_id: failed > 0 ? `error-${job.id}` : null,
    created_at: toSeconds(job.createdAt),
    in_progress_at: toSeconds(job.createdAt),
    expires_at: toSeconds(job.deadlineAt),
    completed_at: status === "completed" ? toSeconds(job.finishedAt) : null,
    cancelled_at: status === "cancelled" ? toSeconds(job.finishedAt) : null,
    request_counts: { total: counts.total, completed: counts.done, failed },
    metadata: job.metadata,
  };
}
