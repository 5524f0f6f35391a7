import { type IClock, notRun } from "../common/mod.ts";
import type { IPlainAdapter } from "../targets/mod.ts";
import { readRequestBody } from "./read_body.ts";
import { sendFailure } from "./respond.ts";
import type { ICallerRequest, IEndpoint } from "./types.ts";

const PLAIN_PATH = /^\/plain\/([^/]+)(\/.*)?$/;

/** Headers that belong to one connection and are not passed on. */
const CONNECTION_HEADERS = new Set([
  "authorization",
  "connection",
  "content-length",
  "host",
  "keep-alive",
  "transfer-encoding",
]);

/** Passes requests through to plain services. */
export class PlainEndpoint implements IEndpoint {
  #targets: IPlainAdapter;
  #clock: IClock;
  #next = 0;

  constructor(targets: IPlainAdapter, clock: IClock) {
    this.#targets = targets;
    this.#clock = clock;
  }

  matches(_method: string, path: string): boolean {
    return PLAIN_PATH.test(path);
  }

  async handle(request: ICallerRequest): Promise<void> {
    const [, name, path] = PLAIN_PATH.exec(request.url.pathname) ?? [];
    const { configuration, caller, response } = request;
    const service = configuration.plainService(caller.name, name ?? "");
    if (!service) {
      return sendFailure(response, notRun("not-found", `no service ${name}`));
    }
    const body = await readRequestBody(request.message);
    if (body.isErr()) return sendFailure(response, body.error);
    const target = service.targets[this.#next++ % service.targets.length];
    if (!target) return;
    const answer = await this.#targets.call(target, {
      method: request.message.method ?? "GET",
      path: (path ?? "/") + request.url.search,
      headers: passedHeaders(request.message.headers),
      body: body.value,
    }, {
      deadline: this.#clock.deadlineIn(service.timeoutMilliseconds),
      signal: request.signal,
    });
    if (answer.isErr()) return sendFailure(response, answer.error);
    response.writeHead(
      answer.value.status,
      passedHeaders(answer.value.headers),
    );
    response.end(answer.value.body);
  }
}

function passedHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const passed = Object.entries(headers)
    .filter(([name]) => !CONNECTION_HEADERS.has(name))
    .map(([name, value]) => [name, String(value)]);
  return Object.fromEntries(passed);
}
