import type { IClock } from "../common/mod.ts";
import { notRun } from "../common/mod.ts";
import type { IJobGateway, InputFile } from "../jobs/mod.ts";
import { openUpload } from "./multipart_file.ts";
import { sendFailure, sendJson } from "./respond.ts";
import type { ICallerRequest, IEndpoint } from "./types.ts";

/** Time that a file operation may take, in milliseconds. */
const FILE_TIMEOUT_MILLISECONDS = 120_000;

/** Result lines that are read at once. */
const PAGE_LINES = 1_000;

const CONTENT_PATH = /^\/v1\/files\/((output|error)-)?([^/]+)\/content$/;
const FILE_PATH = /^\/v1\/files\/([^/]+)$/;

/** Input and output files of batch jobs. */
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
    if (content) return await this.#content(request, content);
    await this.#describe(request, FILE_PATH.exec(path)?.[1] ?? "");
  }

  async #store(request: ICallerRequest): Promise<void> {
    let upload;
    try {
      upload = await openUpload(request.message);
    } catch (error) {
      const reason = `no readable upload: ${error}`;
      return sendFailure(request.response, notRun("bad-request", reason));
    }
    const stored = await this.#jobs.storeFile(
      request.caller.name,
      upload.name,
      { ...this.#deadline(), lines: upload.lines },
    );
    stored.match(
      (file) => sendJson(request.response, 200, fileObject(file)),
      (failure) => sendFailure(request.response, failure),
    );
  }

  async #describe(request: ICallerRequest, id: string): Promise<void> {
    const file = await this.#jobs.file(
      request.caller.name,
      id,
      this.#deadline(),
    );
    file.match(
      (file) => sendJson(request.response, 200, fileObject(file)),
      (failure) => sendFailure(request.response, failure),
    );
  }

  async #content(
    request: ICallerRequest,
    path: RegExpExecArray,
  ): Promise<void> {
    const kind = path[2] === "error" ? "error" : "output";
    const jobId = path[3] ?? "";
    let from: number | undefined = 0;
    while (from !== undefined) {
      const page = await this.#jobs.results(request.caller.name, jobId, {
        ...this.#deadline(),
        from,
        limit: PAGE_LINES,
        kind,
      });
      if (page.isErr()) {
        sendFailure(request.response, page.error);
        request.response.destroy();
        return;
      }
      for (const line of page.value.lines) request.response.write(`${line}\n`);
      from = page.value.next;
    }
    request.response.end();
  }

  #deadline() {
    return { deadline: this.#clock.deadlineIn(FILE_TIMEOUT_MILLISECONDS) };
  }
}

function fileObject(file: InputFile): object {
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
