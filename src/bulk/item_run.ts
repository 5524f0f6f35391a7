import { Buffer } from "node:buffer";
import { z } from "zod";
import { ByteBudget, type IClock, inTurns } from "../common/mod.ts";
import type { LeavingEngines, ListedEngine } from "../placement/mod.ts";
import {
  EventSplitter,
  fieldValues,
  type IEngineAnswer,
  type IEngineClient,
  MAXIMUM_UNNUMBERED_BYTES,
  takeValidEvents,
} from "../streams/mod.ts";
import { HttpExchangeError } from "../targets/http_exchange.ts";
import { MissingRequestError } from "./job_files.ts";
import type { BulkItem, HeldItem } from "./types.ts";

/** Longest wait for the headers of an answer, in milliseconds. */
const HEAD_TIMEOUT_MILLISECONDS = 4_000;

/** Maximum gap between two events of an item, in milliseconds. */
const SILENCE_TIMEOUT_MILLISECONDS = 1_500;

/**
 * Size of the requests that are read from files and being sent, in bytes. They
 * stay in memory until the engine begins its answer.
 */
const MAXIMUM_SENDING_BYTES = 24 * 1024 * 1024;

/** Events without a token that an engine may add to an item's answer. */
const MAXIMUM_EXTRA_EVENTS = 16;

/** Longest data for each token of an item, in characters. */
const MAXIMUM_TOKEN_CHARACTERS = 1_024;

/** Longest data of an item, in characters; a page of results holds one. */
const MAXIMUM_DATA_CHARACTERS = 1_000_000;

/** Progress of an item across its runs. */
export interface IItemProgress {
  /** Data of the events received so far. */
  readonly data: string[];
  lastEventId: string | undefined;
}

/** How a run of an item ended. */
export const itemOutcomeSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("complete") }),
  /** The engine reports that the item can never succeed. */
  z.object({ kind: z.literal("impossible") }),
  /** The engine ran the item and reported a failure. */
  z.object({ kind: z.literal("failed"), reason: z.string() }),
  /** The item did not run: the engine refused it or was not reached. */
  z.object({ kind: z.literal("turned-away"), reason: z.string() }),
  /** The engine or the connection failed; another run may resume the item. */
  z.object({
    kind: z.literal("broken"),
    reason: z.string(),
    /** Whether the engine broke off the run, as it does when it crashes. */
    isBrokenOff: z.boolean().optional(),
    /** Whether the engine sent more than the item asked for. */
    isExcessive: z.boolean().optional(),
  }),
  /** The store that ran the item was lost; the engine is not at fault. */
  z.object({ kind: z.literal("abandoned"), reason: z.string() }),
  /** The run was aborted through its signal. */
  z.object({ kind: z.literal("stopped") }),
]);
export type ItemOutcome = z.infer<typeof itemOutcomeSchema>;

/** A run of an item, which resumes after the events already received. */
export interface IItemRun {
  readonly item: HeldItem;
  /** Host of the job's route. */
  readonly host: string;
  /** Updated while the item runs. */
  readonly progress: IItemProgress;
  readonly signal: AbortSignal;
  /** Is told at once which other store runs the item, if one does. */
  readonly onHosted?: (store: string) => void;
}

/** Runs items at engines. */
export interface IItemExecutor {
  /** Resolves when the run has ended, whatever its outcome. */
  run(engine: ListedEngine, run: IItemRun): Promise<ItemOutcome>;
}

/** An engine sent nothing for too long. */
class SilentEngineError extends Error {
  constructor() {
    super("the engine is silent");
  }
}

/** An engine sent bytes that do not continue the item's stream. */
class InvalidEventError extends Error {
  constructor() {
    super("the engine sent bytes that do not continue the stream");
  }
}

/** An engine sent more than the item asked for. */
export class ExcessiveAnswerError extends Error {
  constructor() {
    super("the engine sent more than the item asked for");
  }
}

/** Runs items from this process. */
export class LocalExecutor implements IItemExecutor {
  #client: IEngineClient;
  #clock: IClock;
  #leaving: Pick<LeavingEngines, "has">;
  #loadRequest: (item: HeldItem) => BulkItem;
  #sending = new ByteBudget(MAXIMUM_SENDING_BYTES);

  /** @param options.loadRequest reads requests that are in files */
  constructor(
    client: IEngineClient,
    clock: IClock,
    options: {
      leaving: Pick<LeavingEngines, "has">;
      loadRequest?: (item: HeldItem) => BulkItem;
    },
  ) {
    this.#client = client;
    this.#clock = clock;
    this.#leaving = options.leaving;
    this.#loadRequest = options.loadRequest ?? ((item) => item);
  }

  async run(engine: ListedEngine, run: IItemRun): Promise<ItemOutcome> {
    // The leader may not know yet that the engine leaves.
    if (this.#leaving.has(engine.id)) {
      const reason = "the engine has announced that it leaves";
      return { kind: "turned-away", reason };
    }
    const { signal } = run;
    try {
      const answer = await this.#send(engine, run);
      if (!answer) return { kind: "stopped" };
      const early = outcomeWithoutStream(answer);
      if (early) {
        answer.close();
        return early;
      }
      const hasEvent = await collectEvents(answer, run);
      // Without a length, an engine that crashes before its first event seems
      // to have answered completely.
      if (!hasEvent && !answer.isFramed) {
        throw new Error("the stream ended before its first event");
      }
      return signal.aborted ? { kind: "stopped" } : { kind: "complete" };
    } catch (error) {
      if (signal.aborted) return { kind: "stopped" };
      const reason = (error as Error).message;
      if (error instanceof MissingRequestError) {
        return { kind: "abandoned", reason };
      }
      const isExchangeError = error instanceof HttpExchangeError;
      if (isExchangeError && !error.mayHaveRun) {
        return { kind: "turned-away", reason };
      }
      const isBrokenOff = isExchangeError
        ? error.code === "connection"
        : !(error instanceof SilentEngineError) &&
          !(error instanceof InvalidEventError) &&
          !(error instanceof ExcessiveAnswerError);
      const isExcessive = error instanceof ExcessiveAnswerError;
      return { kind: "broken", reason, isBrokenOff, isExcessive };
    }
  }

  /**
   * Sends the request of an item, and resolves when the engine's answer begins;
   * undefined if the run was stopped before.
   */
  async #send(
    engine: ListedEngine,
    { item, host, progress, signal }: IItemRun,
  ): Promise<IEngineAnswer | undefined> {
    const bytes = item.stored?.length ?? 0;
    await this.#sending.take(bytes);
    try {
      if (signal.aborted) return undefined;
      const { path, headers, body } = this.#loadRequest(item);
      return await this.#client.send(engine, {
        id: item.id,
        method: "POST",
        path,
        headers: [["Host", host], ...Object.entries(headers)],
        body: Buffer.from(body, "base64"),
        deadline: undefined,
        lastEventId: progress.lastEventId,
      }, {
        signal,
        headDeadline: this.#clock.deadlineIn(HEAD_TIMEOUT_MILLISECONDS),
        freshConnection: false,
      });
    } finally {
      this.#sending.release(bytes);
    }
  }
}

/** Bounds of an item's answer, which follow from its tokens. */
export class AnswerBounds {
  #eventsLeft = Number.POSITIVE_INFINITY;
  #charactersLeft = MAXIMUM_DATA_CHARACTERS;

  /** @param data data that was received in earlier runs */
  constructor(
    { tokens }: Pick<HeldItem, "tokens">,
    data: readonly string[],
  ) {
    // Items may name no tokens; an event contains one token at least.
    if (tokens > 0) {
      this.#eventsLeft = tokens + MAXIMUM_EXTRA_EVENTS;
      this.#charactersLeft = Math.min(
        this.#charactersLeft,
        this.#eventsLeft * MAXIMUM_TOKEN_CHARACTERS,
      );
    }
    this.#countCharacters(data);
  }

  /** Whether the answer is more than the item asked for. */
  get isExceeded(): boolean {
    return this.#eventsLeft < 0 || this.#charactersLeft < 0;
  }

  /** @param data lines of data of one event */
  addEvent(data: readonly string[]): void {
    this.#eventsLeft -= 1;
    this.#countCharacters(data);
  }

  #countCharacters(data: readonly string[]): void {
    for (const { length } of data) this.#charactersLeft -= length + 1;
  }
}

/** Outcome of an answer that is not a stream; undefined for a stream. */
function outcomeWithoutStream(answer: IEngineAnswer): ItemOutcome | undefined {
  const { status, isNotRun, isGenuine } = answer;
  if (isNotRun) {
    return {
      kind: "turned-away",
      reason: `the engine refused the item with status ${status}`,
    };
  }
  if (!isGenuine) {
    const reason = "the answer is unsigned or for another request";
    return { kind: "broken", reason };
  }
  if (status === 422) return { kind: "impossible" };
  if (status === 500) return { kind: "failed", reason: "engine answered 500" };
  if (status === 200) return undefined;
  return { kind: "broken", reason: `unexpected answer with status ${status}` };
}

/**
 * Adds the events of an answer to the progress of the item. Resolves with
 * whether there were any.
 */
async function collectEvents(
  answer: { body: AsyncIterable<Buffer>; close: () => void },
  run: Pick<IItemRun, "item" | "progress" | "signal">,
): Promise<boolean> {
  const { item, progress, signal } = run;
  const bounds = new AnswerBounds(item, progress.data);
  let hasEvent = false;
  let bytesWithoutEvent = 0;
  const splitter = new EventSplitter();
  let silent = false;
  const timer = setTimeout(() => {
    silent = true;
    answer.close();
  }, SILENCE_TIMEOUT_MILLISECONDS);
  const stop = () => answer.close();
  signal.addEventListener("abort", stop, { once: true });
  try {
    for await (const bytes of inTurns(answer.body)) {
      bytesWithoutEvent += bytes.length;
      const received = splitter.push(bytes);
      const events = takeValidEvents(received, progress.lastEventId);
      for (const event of events) {
        if (event.id === undefined) continue;
        hasEvent = true;
        // A faulty engine may send other bytes without end.
        timer.refresh();
        bytesWithoutEvent = 0;
        const data = fieldValues(event.bytes, "data");
        bounds.addEvent(data);
        if (bounds.isExceeded) throw new ExcessiveAnswerError();
        progress.data.push(...data);
        progress.lastEventId = event.id;
      }
      const isInvalid = events.length < received.length ||
        bytesWithoutEvent > MAXIMUM_UNNUMBERED_BYTES;
      if (isInvalid) throw new InvalidEventError();
    }
    if (silent) throw new SilentEngineError();
    if (splitter.incompleteBytes.length > 0 && !signal.aborted) {
      throw new Error("the stream ended inside an event");
    }
    return hasEvent;
  } catch (error) {
    throw silent ? new SilentEngineError() : error;
  } finally {
    clearTimeout(timer);
    signal.removeEventListener("abort", stop);
    answer.close();
  }
}
