import { Buffer } from "node:buffer";
import type { Deadline, IClock, Verdict } from "../common/mod.ts";
import type { ListedEngine } from "../placement/mod.ts";
import { HttpExchangeError } from "../targets/http_exchange.ts";
import { EventSplitter } from "./event_splitter.ts";
import type {
  HeaderLines,
  IAnswerSink,
  IEngineAnswer,
  IEngineClient,
  IForwardedRequest,
} from "./types.ts";

/** Result of one send to an engine. */
export type AttemptOutcome =
  | { readonly kind: "answered"; readonly status: number }
  | {
    readonly kind: "failed";
    readonly verdict: Verdict;
    readonly reason: string;
    /** Whether the engine is to blame, and not its load. */
    readonly isEngineFault: boolean;
    /** An engine's own failure, kept for when nothing else remains. */
    readonly answer?: IBufferedAnswer;
  };

/** An engine's answer that is not a success, read whole. */
export interface IBufferedAnswer {
  readonly status: number;
  readonly answer: IEngineAnswer;
  readonly body: readonly Buffer[];
}

/** What the attempts of one request share. */
export interface IStreamProgress {
  /** Last event that was passed on whole. */
  lastEventId: string | undefined;
  /** When the first bytes of the body were passed on. */
  firstByteAt: Deadline | undefined;
}

/** Limits of one attempt. */
export interface IAttemptLimits {
  /** Whether another engine may take over from this one. */
  readonly mayFailOver: boolean;
  /** Point by which the first event must have come, if it may move. */
  readonly firstEventDeadline: Deadline;
  /** Longest silence between two events, in milliseconds, if it may move. */
  readonly silenceMilliseconds: number;
  /** Point at which the request is given up. */
  readonly deadline: Deadline;
}

/** Largest body of a failure that is kept to be passed on, in bytes. */
const MAXIMUM_FAILURE_BYTES = 1024 * 1024;

/** Sends a request to one engine and passes its answer on. */
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
      isIdempotent: boolean;
    },
  ): Promise<AttemptOutcome> {
    const { sink, progress, limits } = options;
    let answer: IEngineAnswer;
    try {
      answer = await this.#client.send(engine, {
        ...request,
        lastEventId: progress.lastEventId ?? request.lastEventId,
      }, {
        signal: sink.signal,
        headDeadline: limits.mayFailOver
          ? limits.firstEventDeadline
          : limits.deadline,
        freshConnection: !options.isIdempotent,
      });
    } catch (error) {
      return sendErrorOutcome(error);
    }
    if (answer.isNotRun) {
      answer.close();
      const reason = `the engine refused with ${answer.status}`;
      return notRun(reason);
    }
    if (!answer.isGenuine) {
      answer.close();
      return mayHaveRun("the answer belongs to another request");
    }
    if (answer.status < 200 || answer.status > 299) {
      return await this.#bufferFailure(answer, limits);
    }
    return await this.#relay(answer, request, { sink, progress, limits });
  }

  /** Passes on whole events, or plain bytes where the answer is no stream. */
  async #relay(
    answer: IEngineAnswer,
    request: IForwardedRequest,
    options: {
      sink: IAnswerSink;
      progress: IStreamProgress;
      limits: IAttemptLimits;
    },
  ): Promise<AttemptOutcome> {
    const { sink, progress, limits } = options;
    const isStream = request.route.kind === "stream";
    const splitter = new EventSplitter();
    const watchdog = new AnswerWatchdog(this.#clock, answer, limits);
    const stop = () => answer.close();
    sink.signal.addEventListener("abort", stop, { once: true });
    if (sink.signal.aborted) stop();
    try {
      for await (const bytes of answer.body) {
        watchdog.reset();
        progress.firstByteAt ??= this.#clock.monotonic();
        if (!isStream) {
          if (!sink.hasBegun) sink.begin(answer.status, answer.headers);
          await sink.write(bytes);
          continue;
        }
        const events = splitter.push(bytes);
        if (events.length === 0) continue;
        // Before the first whole event, another engine can still answer.
        if (!sink.hasBegun) sink.begin(answer.status, streamHeaders(answer));
        await sink.write(Buffer.concat(events.map((event) => event.bytes)));
        const id = events.findLast((event) => event.id !== undefined)?.id;
        progress.lastEventId = id ?? progress.lastEventId;
      }
      if (sink.signal.aborted) return mayHaveRun("the caller left", false);
      if (splitter.incompleteBytes.length > 0) {
        return mayHaveRun("the stream ended inside an event");
      }
      if (!sink.hasBegun) sink.begin(answer.status, streamHeaders(answer));
      sink.end();
      return { kind: "answered", status: answer.status };
    } catch (error) {
      const reason = watchdog.closeReason ?? (error as Error).message;
      return mayHaveRun(reason, !sink.signal.aborted);
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
      for await (const bytes of answer.body) {
        length += bytes.length;
        if (length > MAXIMUM_FAILURE_BYTES) throw new Error("failure too long");
        body.push(bytes);
      }
      return {
        ...mayHaveRun(`the engine answered ${answer.status}`, false),
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

/** Closes an answer whose engine stays silent for too long. */
class AnswerWatchdog {
  #silenceTimer: NodeJS.Timeout;
  #deadlineTimer: NodeJS.Timeout;
  #limits: IAttemptLimits;
  #closeAnswer: (reason: string) => void;
  /** Why the answer was closed, if it was. */
  closeReason: string | undefined;

  constructor(clock: IClock, answer: IEngineAnswer, limits: IAttemptLimits) {
    this.#limits = limits;
    const closeAnswer = (reason: string) => {
      this.closeReason = reason;
      answer.close();
    };
    const first = limits.mayFailOver
      ? clock.remaining(limits.firstEventDeadline)
      : clock.remaining(limits.deadline);
    this.#silenceTimer = setTimeout(
      () => closeAnswer("the engine is silent"),
      first,
    );
    this.#deadlineTimer = setTimeout(
      () => closeAnswer("the request's time is up"),
      clock.remaining(limits.deadline),
    );
    this.#closeAnswer = closeAnswer;
  }

  reset(): void {
    clearTimeout(this.#silenceTimer);
    if (!this.#limits.mayFailOver) return;
    this.#silenceTimer = setTimeout(
      () => this.#closeAnswer("the engine is silent"),
      this.#limits.silenceMilliseconds,
    );
  }

  dispose(): void {
    clearTimeout(this.#silenceTimer);
    clearTimeout(this.#deadlineTimer);
  }
}

/** Head without a length, which another engine's part could exceed. */
function streamHeaders({ headers }: IEngineAnswer): HeaderLines {
  return headers.filter(([name]) => name.toLowerCase() !== "content-length");
}

function notRun(reason: string, isEngineFault = false) {
  return {
    kind: "failed",
    verdict: "not-run",
    reason,
    isEngineFault,
  } as const;
}

function mayHaveRun(reason: string, isEngineFault = true) {
  return {
    kind: "failed",
    verdict: "may-have-run",
    reason,
    isEngineFault,
  } as const;
}

function sendErrorOutcome(error: unknown): AttemptOutcome {
  if (!(error instanceof HttpExchangeError)) {
    return mayHaveRun((error as Error).message);
  }
  const isCancelled = error.code === "cancelled";
  return error.mayHaveRun
    ? mayHaveRun(error.message, !isCancelled)
    : notRun(error.message, !isCancelled);
}
