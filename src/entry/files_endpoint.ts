import type { Result } from "neverthrow";
import { type Failure, type IClock, notRun } from "../common/mod.ts";
import type { IJobGateway, InputFile, IResultPage } from "../jobs/mod.ts";
import { breakOff } from "../edge/mod.ts";
import { openUpload } from "./multipart_file.ts";
import { sendFailure, sendJson } from "./respond.ts";
import type { ICallerRequest, IEndpoint } from "./types.ts";

/** Timeout of a file operation, in milliseconds. */
const FILE_TIMEOUT_MILLISECONDS = 120_000;

/** Result lines read at a time, and on a page without the parameter `limit`. */
const DEFAULT_PAGE_LINES = 1_000;

/** Maximum number of result lines on a page. */
const MAXIMUM_PAGE_LINES = 10_000;

/** Response header with the position at which the next page begins. */
const NEXT_PAGE_POSITION_HEADER = "figroad-position";

const CONTENT_PATH = /^\/v1\/files\/((output|error)-)?([^/]+)\/content$/;
const FILE_PATH = /^\/v1\/files\/([^/]+)$/;

/** Endpoint for the input and output files of batch jobs. */
export class FilesEndpoint implements IEndpoint {
  #jobs: IJobGateway;
  #clock: IClock;

  constructor(jobs: IJobGateway, clock: IClock) {
    this.#jobs = jobs;
    this.#clock = clock;
  }

  matches(method: string, path: string): boolean {
    if (method === "POST") return path === "/v1/files";
    return method === "GET" &&
      (FILE_PATH.test(path) || CONTENT_PATH.test(path));
  }

  async handle(request: ICallerRequest): Promise<void> {
    const path = request.url.pathname;
    const content = CONTENT_PATH.exec(path);
    if (request.message.method === "POST") return await this.#store(request);
    if (content) return await this.#sendContent(request, content);
    await this.#sendMetadata(request, FILE_PATH.exec(path)?.[1] ?? "");
  }

  async #store(request: ICallerRequest): Promise<void> {
    let upload;
    try {
      upload = await openUpload(request.message);
    } catch (error) {
      const reason = `could not read the upload: ${error}`;
      return sendFailure(request.response, notRun("bad-request", reason));
    }
    const stored = await this.#jobs.storeFile(
      request.caller.name,
      upload.name,
      { ...this.#deadline(), lines: upload.lines },
    );
    stored.match(
      (file) => sendJson(request.response, 200, toFileObject(file)),
      (failure) => sendFailure(request.response, failure),
    );
  }

  async #sendMetadata(request: ICallerRequest, id: string): Promise<void> {
    const file = await this.#jobs.file(
      request.caller.name,
      id,
      this.#deadline(),
    );
    file.match(
      (file) => sendJson(request.response, 200, toFileObject(file)),
      (failure) => sendFailure(request.response, failure),
    );
  }

  async #sendContent(
    request: ICallerRequest,
    pathMatch: RegExpExecArray,
  ): Promise<void> {
    const kind = pathMatch[2] === "error" ? "error" : "output";
    const jobId = pathMatch[3] ?? "";
    const query = request.url.searchParams;
    if (query.has("after")) return await this.#sendPage(request, jobId, kind);
    const { response } = request;
    const job = await this.#jobs.job(
      request.caller.name,
      jobId,
      this.#deadline(),
    );
    if (job.isErr()) return sendFailure(response, job.error);
    // The order must not change if the job ends while its results are read.
    const order = job.value.state === "running" ? "completion" : "item";
    let from: number | undefined = 0;
    while (from !== undefined && !request.signal.aborted) {
      const page: Result<IResultPage, Failure> = await this.#jobs.results(
        request.caller.name,
        jobId,
        {
          ...this.#deadline(),
          from,
          limit: DEFAULT_PAGE_LINES,
          kind,
          order,
        },
      );
      if (page.isErr()) {
        const hasStarted = response.headersSent;
        if (hasStarted) breakOff(response);
        else sendFailure(response, page.error);
        return;
      }
      const text = page.value.lines.map((line) => `${line}\n`).join("");
      const canWriteMore = response.write(text);
      if (!canWriteMore) await waitForDrain(request);
      from = page.value.next;
    }
    response.end();
  }

  /** Sends one page in order of completion, with the position of the next. */
  async #sendPage(
    request: ICallerRequest,
    jobId: string,
    kind: "output" | "error",
  ): Promise<void> {
    const query = request.url.searchParams;
    const from = Number(query.get("after"));
    const limit = Number(query.get("limit") ?? DEFAULT_PAGE_LINES);
    if (
      !isNonNegativeInteger(from) || !isNonNegativeInteger(limit) || limit === 0
    ) {
      const reason = "after must be an integer from 0, limit from 1";
      return sendFailure(request.response, notRun("bad-request", reason));
    }
    const page = await this.#jobs.results(request.caller.name, jobId, {
      ...this.#deadline(),
      from,
      limit: Math.min(limit, MAXIMUM_PAGE_LINES),
      kind,
      order: "completion",
    });
    page.match(({ lines, position }) => {
      request.response.setHeader(NEXT_PAGE_POSITION_HEADER, `${position}`);
      request.response.end(lines.map((line) => `${line}\n`).join(""));
    }, (failure) => sendFailure(request.response, failure));
  }

  #deadline() {
    return { deadline: this.#clock.deadlineIn(FILE_TIMEOUT_MILLISECONDS) };
  }
}

/** Resolves when the response can be written to, or its connection closed. */
function waitForDrain(request: ICallerRequest): Promise<void> {
  const { response, signal } = request;
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = () => {
      response.off("drain", finish);
      response.off("close", finish);
      resolve();
    };
    response.once("drain", finish);
    response.once("close", finish);
  });
}

function isNonNegativeInteger(value: number): boolean {
  return Number.isInteger(value) && value >= 0;
}

function toFileObject(file: InputFile): object {
  return {
    id: file.id,
    object: "file",
    bytes: file.bytes,
    created_at: Math.floor(file.createdAt / 1_000),
    filename: file.name,
    purpose: "batch",
    status: file.state === "closed" ? "processed" : "uploaded",
  };
}
