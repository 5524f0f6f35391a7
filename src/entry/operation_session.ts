import { createHash } from "node:crypto";
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { match, P } from "ts-pattern";
import {
  type Deadline,
  earlierDeadline,
  type Failure,
  type IClock,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type {
  IOperation,
  IOperationAnswer,
  IOperationLedger,
} from "../operations/mod.ts";
import { ResponseCapture } from "./response_capture.ts";
import type { ICallerRequest } from "./types.ts";

/** Header with a key; a retry with the same key does not run again. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Header on a response that was recorded for an earlier request. */
const REPLAYED_HEADER = "idempotent-replayed";

/** Maximum length of an idempotency key, in characters. */
const MAXIMUM_KEY_CHARACTERS = 255;

/** Timeout for recording that a request begins, in milliseconds. */
const BEGIN_TIMEOUT_MILLISECONDS = 5_000;

/** Timeout for recording an outcome, in milliseconds. */
const RECORD_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Maximum duration of a non-idempotent request, in milliseconds. It is far
 * shorter than the retention of the request's record.
 */
export const MAXIMUM_OPERATION_MILLISECONDS = 600_000;

/** Options for opening an operation. */
export interface IOperationOptions {
  readonly ledger: IOperationLedger;
  readonly clock: IClock;
  readonly deadline: Deadline;
  /** Request body; included in the fingerprint with the method and URL. */
  readonly body: Uint8Array;
}

/** A non-idempotent request that was recorded and may run once. */
export class OperationSession {
  readonly capture = new ResponseCapture();
  /**
   * Never aborted. A non-idempotent request continues when its caller
   * disconnects, so that a retry with the same key gets the response.
   */
  readonly signal = new AbortController().signal;
  #operation: IOperation;
  #options: IOperationOptions;

  constructor(operation: IOperation, options: IOperationOptions) {
    this.#operation = operation;
    this.#options = options;
  }

  /** Records the response, with a final part that was not written before. */
  async finish(finalPart: string | Uint8Array): Promise<void> {
    this.capture.append(finalPart);
    await this.#complete();
  }

  /** Records a failure. If the request was not run, its key is released. */
  async recordFailure(failure: Failure): Promise<void> {
    if (failure.verdict === "not-run") {
      const { ledger } = this.#options;
      await ledger.abandon(this.#operation, this.#recordDeadline());
      return;
    }
    this.capture.replaceWithFailure(failure);
    await this.#complete();
  }

  async #complete(): Promise<void> {
    const { ledger } = this.#options;
    const { answer } = this.capture;
    await ledger.complete(this.#operation, answer, this.#recordDeadline());
  }

  #recordDeadline() {
    const { clock } = this.#options;
    return { deadline: clock.deadlineIn(RECORD_TIMEOUT_MILLISECONDS) };
  }
}

/** Either a new session, or the recorded response of an earlier request. */
export type OpenedOperation =
  | { readonly kind: "session"; readonly session: OperationSession }
  | { readonly kind: "replay"; readonly answer: IOperationAnswer };

/**
 * Records that a non-idempotent request begins, or finds the response that was
 * recorded for an earlier request with the same key.
 */
export async function openOperation(
  request: ICallerRequest,
  options: IOperationOptions,
): Promise<Result<OpenedOperation, Failure>> {
  const key = readKey(request);
  if (key.isErr()) return err(key.error);
  request.response.setHeader(IDEMPOTENCY_KEY_HEADER, key.value);
  const caller = request.caller.name;
  const operation = { caller, key: key.value, attempt: request.id };
  const { clock, ledger } = options;
  const timeout = clock.deadlineIn(BEGIN_TIMEOUT_MILLISECONDS);
  const beginOutcome = await ledger.begin(operation, {
    deadline: earlierDeadline(options.deadline, timeout),
    fingerprint: fingerprintOf(request, options.body),
  });
  if (beginOutcome.isErr()) {
    releaseKey(operation, options, beginOutcome.error);
    // The request is not run, whether or not its beginning was recorded.
    return err({ ...beginOutcome.error, verdict: "not-run" });
  }
  return match(beginOutcome.value)
    .with({ kind: "begun" }, () => {
      const session = new OperationSession(operation, options);
      return ok({ kind: "session" as const, session });
    })
    .with(
      { kind: "completed" },
      ({ answer }) => ok({ kind: "replay" as const, answer }),
    )
    .with(
      { kind: P.union("in-progress", "answer-dropped") },
      ({ kind }) => err(alreadyBegunFailure(kind)),
    )
    .exhaustive();
}

/** Sends the response that was recorded for an earlier request. */
export function sendReplay(
  request: ICallerRequest,
  answer: IOperationAnswer,
): void {
  const { response } = request;
  if (response.destroyed) return;
  const extraHeaders = answer.status >= 400 ? failureHeaders(answer) : {};
  response.writeHead(answer.status, {
    ...extraHeaders,
    "content-type": answer.contentType,
    [REPLAYED_HEADER]: "true",
  });
  response.end(Buffer.from(answer.body, "base64"));
}

/**
 * Headers of a recorded failure. A failure is recorded only if the request may
 * have run.
 */
function failureHeaders(answer: IOperationAnswer): Record<string, string> {
  const isJson = answer.contentType === "application/json";
  if (!isJson) return {};
  return { "figroad-verdict": "may-have-run", "x-should-retry": "false" };
}

function readKey(request: ICallerRequest): Result<string, Failure> {
  const header = request.message.headers[IDEMPOTENCY_KEY_HEADER];
  if (header === undefined) return ok(request.id);
  if (
    typeof header === "string" && header !== "" &&
    header.length <= MAXIMUM_KEY_CHARACTERS
  ) return ok(header);
  const reason =
    `${IDEMPOTENCY_KEY_HEADER}: must have 1 to ${MAXIMUM_KEY_CHARACTERS} ` +
    "characters";
  return err(notRun("bad-request", reason));
}

function fingerprintOf(request: ICallerRequest, body: Uint8Array): string {
  return createHash("sha256")
    .update(`${request.message.method} ${request.url.pathname}`)
    .update(`${request.url.search}\n`)
    .update(body)
    .digest("hex");
}

/**
 * Abandons an operation whose begin failed with an unknown outcome. The request
 * was not run, but its idempotency key may have been recorded as in progress,
 * which would make a retry fail.
 */
function releaseKey(
  operation: IOperation,
  options: IOperationOptions,
  failure: Failure,
): void {
  if (failure.verdict === "not-run") return;
  const { clock, ledger } = options;
  const deadline = clock.deadlineIn(RECORD_TIMEOUT_MILLISECONDS);
  void ledger.abandon(operation, { deadline });
}

function alreadyBegunFailure(kind: "in-progress" | "answer-dropped"): Failure {
  const reason = kind === "in-progress"
    ? "a request with this idempotency key has begun; its outcome is unknown"
    : "a request with this idempotency key has completed; its response was " +
      "not recorded";
  return mayHaveRun("already-begun", reason);
}
