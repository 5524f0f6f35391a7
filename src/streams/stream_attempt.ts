import { Buffer } from "node:buffer";
import { match } from "ts-pattern";
import {
  type Deadline,
  type IClock,
  inTurns,
  type Verdict,
} from "../common/mod.ts";
import type { ListedEngine } from "../placement/mod.ts";
import { RelayError } from "../relaying/mod.ts";
import { HttpExchangeError } from "../targets/http_exchange.ts";
import { AnswerWatchdog } from "./answer_watchdog.ts";
import { HeadDeadline } from "./head_deadline.ts";
import {
  EventSplitter,
  MAXIMUM_UNNUMBERED_BYTES,
  takeValidEvents,
} from "./event_splitter.ts";
import type {
  HeaderLines,
  IAnswerSink,
  IEngineAnswer,
  IEngineClient,
  IForwardedRequest,
} from "./types.ts";

/**
 * What is at fault in a failed attempt: the engine; the connection to it, which
 * may be the engine or this instance's own links; an instance that should have
 * forwarded the request; or nothing, as with too much load.
 */
export type AttemptFault = "engine" | "connection" | "relay" | "none";

/** Outcome of one attempt at an engine. */
export type AttemptOutcome =
  | { readonly kind: "answered"; readonly status: number }
  | {
    readonly kind: "failed";
    readonly verdict: Verdict;
    readonly reason: string;
    readonly fault: AttemptFault;
    /** Whether the engine broke off the run, as it does when it crashes. */
    readonly isBroken: boolean;
    /** The engine's error answer, forwarded if no other attempt follows. */
    readonly answer?: IBufferedAnswer;
  };

export type FailedAttempt = Extract<AttemptOutcome, { kind: "failed" }>;

/** An engine's answer with a status other than 2xx, read completely. */
export interface IBufferedAnswer {
  readonly status: number;
  readonly answer: IEngineAnswer;
  readonly body: readonly Buffer[];
}

/** State that the attempts of one request share. */
export interface IStreamProgress {
  /** Identifier of the last event that was forwarded completely. */
  lastEventId: string | undefined;
  /** Time at which the first bytes of the body arrived. */
  firstByteAt: Deadline | undefined;
  /** Time at which the latest bytes of a body arrived. */
  lastByteAt: Deadline | undefined;
}

/** Another engine for a request whose present one is silent. */
export interface IAlternative {
  /**
   * Reserves a place; resolves with false if there is none.
   *
   * @param hasHead whether the engine has begun to answer
   */
  reserve(hasHead: boolean): Promise<boolean>;
  /** Returns the place: the present engine continues to answer. */
  release(): void;
}

/** Time limits of one attempt, and whether the request may fail over. */
export interface IAttemptLimits {
  /** Whether the request may fail over to another engine. */
  readonly mayFailOver: boolean;
  /** Time by which the first event must arrive, if failover is allowed. */
  readonly firstEventDeadline: Deadline;
  /** Maximum gap between two events in ms, if failover is allowed. */
  readonly silenceMilliseconds: number;
  /** Where the request may be sent again; by default there always is a place. */
  readonly alternative?: IAlternative;
  /** Time at which the request is abandoned. */
  readonly deadline: Deadline;
}

/** Maximum size of an error body that is buffered, in bytes. */
const MAXIMUM_BODY_BYTES = 1024 * 1024;

/** Status of answers that never have a body. */
const NO_CONTENT_STATUS = 204;

/** Sends a request to one engine and forwards its answer. */
export class StreamAttempt {
  #client: IEngineClient;
  #clock: IClock;

  constructor(client: IEngineClient, clock: IClock) {
    this.#client = client;
    this.#clock = clock;
  }

  async run(
    engine: ListedEngine,
    request: IForwardedRequest,
    options: {
      sink: IAnswerSink;
      progress: IStreamProgress;
      limits: IAttemptLimits;
      /** Whether to use a connection that no other request has used. */
      freshConnection: boolean;
      /** Called before the first complete event is forwarded. */
      onFirstEvent: () => void;
    },
  ): Promise<AttemptOutcome> {
    const { sink, progress, limits } = options;
    let answer: IEngineAnswer;
    const headDeadline = new HeadDeadline(this.#clock, limits);
    try {
      answer = await this.#client.send(engine, {
        ...request,
        lastEventId: progress.lastEventId ?? request.lastEventId,
      }, {
        signal: sink.signal,
        headDeadline: headDeadline.initial,
        extendHeadDeadline: () => headDeadline.extend(),
        freshConnection: options.freshConnection,
      });
    } catch (error) {
      return sendErrorOutcome(error);
    } finally {
      headDeadline.dispose();
    }
    if (answer.isNotRun) {
      answer.close();
      const reason =
        `the engine refused the request with status ${answer.status}`;
      return notRun(reason);
    }
    if (!answer.isGenuine) {
      answer.close();
      return mayHaveRun("the answer is unsigned or for another request");
    }
    if (answer.status < 200 || answer.status > 299) {
      return await this.#bufferFailure(answer, limits);
    }
    return await this.#forward(answer, request, options);
  }

  /** Forwards complete events on a stream route, else bytes as they arrive. */
  async #forward(
    answer: IEngineAnswer,
    request: IForwardedRequest,
    options: {
      sink: IAnswerSink;
      progress: IStreamProgress;
      limits: IAttemptLimits;
      onFirstEvent: () => void;
    },
  ): Promise<AttemptOutcome> {
    const { sink, progress, limits } = options;
    const isStream = request.route.kind === "stream";
    const hadBegun = sink.hasBegun;
    let hasEvent = false;
    let hasBytes = false;
    let bytesWithoutEvent = 0;
    const splitter = new EventSplitter();
    const watchdog = new AnswerWatchdog(this.#clock, answer, limits);
    const stop = () => answer.close();
    sink.signal.addEventListener("abort", stop, { once: true });
    if (sink.signal.aborted) stop();
    try {
      for await (const bytes of inTurns(answer.body)) {
        progress.lastByteAt = this.#clock.monotonic();
        progress.firstByteAt ??= progress.lastByteAt;
        hasBytes = true;
        if (!isStream) {
          // What was sent cannot be taken back, so no other engine can go on.
          watchdog.allowSilence();
          if (!sink.hasBegun) sink.begin(answer.status, answer.headers);
          await watchdog.excludeFromSilence(sink.write(bytes));
          continue;
        }
        const received = splitter.push(bytes);
        const events = takeValidEvents(
          received,
          progress.lastEventId ?? request.lastEventId,
        );
        const isInvalid = events.length < received.length;
        const hasProgress = events.some((event) =>
          request.route.isResumable ? event.id !== undefined : event.hasField
        );
        bytesWithoutEvent = hasProgress ? 0 : bytesWithoutEvent + bytes.length;
        if (bytesWithoutEvent > MAXIMUM_UNNUMBERED_BYTES) {
          return mayHaveRun("the engine sends bytes, but no event");
        }
        if (isInvalid && events.length === 0) return invalidEvent();
        if (events.length === 0) continue;
        // The answer begins with the first complete event: until then, another
        // engine can still answer instead.
        if (!sink.hasBegun) {
          options.onFirstEvent();
          sink.begin(answer.status, streamHeaders(answer));
        }
        const complete = Buffer.concat(events.map(({ bytes }) => bytes));
        await watchdog.excludeFromSilence(sink.write(complete));
        const id = events.findLast((event) => event.id !== undefined)?.id;
        hasEvent ||= id !== undefined || progress.lastEventId === undefined;
        // Comments and parts of an event are no progress: a stalled engine may
        // send them without end.
        if (id !== undefined) watchdog.reset();
        progress.lastEventId = id ?? progress.lastEventId;
        if (progress.lastEventId === undefined) watchdog.allowSilence();
        if (isInvalid) return invalidEvent();
      }
      if (sink.signal.aborted) {
        return mayHaveRun("the caller left", { fault: "none" });
      }
      if (splitter.incompleteBytes.length > 0) {
        return mayHaveRun("the stream ended inside an event", {
          isBroken: true,
        });
      }
      // Without a length, an engine that crashes after its head seems to have
      // answered completely.
      const isEmpty = !answer.isFramed &&
        (isStream ? !hasEvent : !hasBytes && mayHaveBody(request, answer));
      // A caller may resume a stream of which only the end is missing.
      const mayResume = isStream && !hadBegun &&
        request.lastEventId !== undefined;
      if (isEmpty && !mayResume) {
        return mayHaveRun("the answer ended before its first bytes", {
          isBroken: true,
        });
      }
      if (!sink.hasBegun) sink.begin(answer.status, streamHeaders(answer));
      sink.end();
      return { kind: "answered", status: answer.status };
    } catch (error) {
      const reason = watchdog.closeReason ?? (error as Error).message;
      if (sink.signal.aborted) return mayHaveRun(reason, { fault: "none" });
      if (answer.isRelayed) return mayHaveRun(reason, { fault: "relay" });
      const isBroken = watchdog.closeReason === undefined;
      return mayHaveRun(reason, { fault: "connection", isBroken });
    } finally {
      sink.signal.removeEventListener("abort", stop);
      watchdog.dispose();
      answer.close();
    }
  }

  async #bufferFailure(
    answer: IEngineAnswer,
    limits: IAttemptLimits,
  ): Promise<AttemptOutcome> {
    const body: Buffer[] = [];
    let length = 0;
    const watchdog = new AnswerWatchdog(this.#clock, answer, limits);
    try {
      for await (const bytes of inTurns(answer.body)) {
        length += bytes.length;
        if (length > MAXIMUM_BODY_BYTES) throw new Error("error body too long");
        body.push(bytes);
      }
      return {
        ...mayHaveRun(`the engine answered with status ${answer.status}`, {
          fault: "none",
        }),
        answer: { status: answer.status, answer, body },
      };
    } catch (error) {
      return mayHaveRun((error as Error).message);
    } finally {
      watchdog.dispose();
      answer.close();
    }
  }
}

/** Whether the method and the status allow a body. */
function mayHaveBody(
  { method }: IForwardedRequest,
  { status }: IEngineAnswer,
): boolean {
  return method !== "HEAD" && status !== NO_CONTENT_STATUS;
}

function invalidEvent() {
  return mayHaveRun("the engine sent bytes that do not continue the stream");
}

/** Omits `Content-Length`, which a stream resumed elsewhere could exceed. */
function streamHeaders({ headers }: IEngineAnswer): HeaderLines {
  return headers.filter(([name]) => name.toLowerCase() !== "content-length");
}

function notRun(reason: string, fault: AttemptFault = "none") {
  return {
    kind: "failed",
    verdict: "not-run",
    ...{ reason, fault, isBroken: false },
  } as const;
}

function mayHaveRun(
  reason: string,
  options: { fault?: AttemptFault; isBroken?: boolean } = {},
) {
  const { fault = "engine", isBroken = false } = options;
  return {
    kind: "failed",
    verdict: "may-have-run",
    ...{ reason, fault, isBroken },
  } as const;
}

function sendErrorOutcome(error: unknown): AttemptOutcome {
  if (error instanceof RelayError) {
    const { message, fault } = error;
    return error.mayHaveRun
      ? mayHaveRun(message, { fault })
      : notRun(message, fault);
  }
  if (!(error instanceof HttpExchangeError)) {
    return mayHaveRun((error as Error).message);
  }
  const fault = match(error.code)
    .with("cancelled", () => "none" as const)
    .with("invalid", () => "engine" as const)
    .with("connection", "timeout", () => "connection" as const)
    .exhaustive();
  return error.mayHaveRun
    ? mayHaveRun(error.message, {
      fault,
      isBroken: error.code === "connection",
    })
    : notRun(error.message, fault);
}
