import { Buffer } from "node:buffer";
import type { IClock } from "../common/mod.ts";
import type { ListedEngine } from "../placement/mod.ts";
import { EventSplitter, fieldOf, type IEngineCaller } from "../streams/mod.ts";
import { HttpExchangeError } from "../targets/http_exchange.ts";
import type { BulkItem } from "./types.ts";

/** Longest wait for the head of an answer, in milliseconds. */
const HEAD_TIMEOUT_MILLISECONDS = 4_000;

/** Longest silence between two events of an item, in milliseconds. */
const SILENCE_MILLISECONDS = 1_500;

/** How far an item has come over its runs. */
export interface IItemProgress {
  /** Data of the events received so far. */
  readonly data: string[];
  lastEventId: string | undefined;
}

/** How a run of an item ended. */
export type ItemOutcome =
  | { readonly kind: "complete" }
  /** The engine says that the item can never be done. */
  | { readonly kind: "impossible" }
  /** The engine failed the item itself. */
  | { readonly kind: "failed"; readonly reason: string }
  /** The engine did not run the item, having no place for it. */
  | { readonly kind: "turned-away"; readonly reason: string }
  /** The engine or the connection broke; another run may go on. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The run was stopped from here. */
  | { readonly kind: "stopped" };

/** Runs an item at one engine, behind the events that it already has. */
export async function runItem(
  caller: IEngineCaller,
  engine: ListedEngine,
  run: {
    item: BulkItem;
    host: string;
    progress: IItemProgress;
    signal: AbortSignal;
    clock: IClock;
  },
): Promise<ItemOutcome> {
  const { item, host, progress, signal, clock } = run;
  try {
    const answer = await caller.send(engine, {
      id: item.id,
      method: "POST",
      path: item.path,
      headers: [["Host", host], ...Object.entries(item.headers)],
      body: Buffer.from(item.body, "base64"),
      deadline: undefined,
      lastEventId: progress.lastEventId,
    }, {
      signal,
      headDeadline: clock.deadlineIn(HEAD_TIMEOUT_MILLISECONDS),
      freshConnection: false,
    });
    const { status } = answer;
    if (status !== 200) answer.close();
    if (answer.isNotRun) {
      return { kind: "turned-away", reason: `refused with ${status}` };
    }
    if (status === 422) return { kind: "impossible" };
    if (status === 500) return { kind: "failed", reason: "answered 500" };
    if (status !== 200 || !answer.isGenuine) {
      answer.close();
      return { kind: "broken", reason: `unexpected answer ${status}` };
    }
    await collect(answer, { progress, signal });
    return signal.aborted ? { kind: "stopped" } : { kind: "complete" };
  } catch (error) {
    if (signal.aborted) return { kind: "stopped" };
    const reason = (error as Error).message;
    const isNotRun = error instanceof HttpExchangeError && !error.mayHaveRun;
    return { kind: isNotRun ? "turned-away" : "broken", reason };
  }
}

/** Takes in the events of a run. */
async function collect(
  answer: { body: AsyncIterable<Buffer>; close: () => void },
  run: { progress: IItemProgress; signal: AbortSignal },
): Promise<void> {
  const { progress, signal } = run;
  const splitter = new EventSplitter();
  let silent = false;
  const timer = setTimeout(() => {
    silent = true;
    answer.close();
  }, SILENCE_MILLISECONDS);
  const stop = () => answer.close();
  signal.addEventListener("abort", stop, { once: true });
  try {
    for await (const bytes of answer.body) {
      timer.refresh();
      for (const event of splitter.push(bytes)) {
        if (event.id === undefined) continue;
        progress.data.push(...fieldOf(event.bytes, "data"));
        progress.lastEventId = event.id;
      }
    }
    if (silent) throw new Error("the engine is silent");
    if (splitter.rest.length > 0 && !signal.aborted) {
      throw new Error("the stream ended inside an event");
    }
  } catch (error) {
    throw silent ? new Error("the engine is silent") : error;
  } finally {
    clearTimeout(timer);
    signal.removeEventListener("abort", stop);
    answer.close();
  }
}
