import type { IBatchAllowance, IBatchStreams } from "../allotment/mod.ts";
import type { Deadline, Failure, IDisposable } from "../common/mod.ts";
import type { Engine } from "../configuration/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { ITraceRecorder } from "../explain/types.ts";
import type { ITargetHealth } from "../routing/mod.ts";
import {
  type IHeldItem,
  type IItemAttemptOptions,
  ItemAttempt,
} from "./item_attempt.ts";

/** Time without new streams after an engine refused one, in milliseconds. */
const ENGINE_BACKOFF_MILLISECONDS = 500;

/**
 * Why a stream was cancelled. `yield`: the engine's limit fell below the number
 * of its streams; `stopped`: the runner stops; `lost`: the lease or the job
 * ended.
 */
export type CancelReason = "yield" | "stopped" | "lost";

/** Supplies items to run and receives the outcomes of their streams. */
export interface IItemSource {
  /** Returns an item to run on the engine; undefined when there is none. */
  take(engine: Engine): IHeldItem | undefined;
  done(held: IHeldItem, line: string): void;
  failed(held: IHeldItem, engine: Engine, failure: Failure): void;
  /** The stream was cancelled; its output so far is in the item. */
  cancelled(held: IHeldItem, reason: CancelReason): void;
}

/** Options of `EngineStreams`. */
export interface IEngineStreamsOptions extends IItemAttemptOptions {
  readonly allowance: IBatchAllowance;
  readonly streams: IBatchStreams;
  readonly health: ITargetHealth;
  readonly trace: ITraceRecorder;
  readonly events: IEventLog;
}

interface IRunningStream {
  readonly held: IHeldItem;
  readonly engineId: string;
  readonly abort: AbortController;
  reason: CancelReason | undefined;
}

/** Runs as many batch streams on each engine as the allowance permits. */
export class EngineStreams implements IDisposable {
  #source: IItemSource;
  #options: IEngineStreamsOptions;
  /** Running streams, in the order in which they began. */
  #running = new Set<IRunningStream>();
  #backoffUntil = new Map<string, Deadline>();
  #subscription: IDisposable;

  constructor(source: IItemSource, options: IEngineStreamsOptions) {
    this.#source = source;
    this.#options = options;
    this.#subscription = options.allowance.onChange((id) => this.adjust(id));
  }

  get size(): number {
    return this.#running.size;
  }

  /** Items with a running stream. */
  get items(): IHeldItem[] {
    return [...this.#running].map(({ held }) => held);
  }

  /** Cancels streams above an engine's limit, or starts new ones below it. */
  adjust(engineId: string): void {
    const running = this.#runningAt(engineId);
    const surplus = running.length - this.#options.allowance.limitOf(engineId);
    if (surplus > 0) this.#preempt(running, surplus);
    else if (surplus < 0) this.#startStreams(engineId, -surplus);
  }

  adjustAll(): void {
    this.#options.allowance.ownedEngines.forEach((id) => this.adjust(id));
  }

  /** Cancels the streams of items that match the predicate. */
  cancel(reason: CancelReason, predicate: (held: IHeldItem) => boolean): void {
    for (const stream of this.#running) {
      if (!predicate(stream.held) || stream.reason) continue;
      stream.reason = reason;
      stream.abort.abort();
    }
  }

  dispose(): void {
    this.#subscription.dispose();
    this.cancel("stopped", () => true);
  }

  #runningAt(engineId: string): IRunningStream[] {
    return [...this.#running].filter((stream) =>
      stream.engineId === engineId && !stream.reason
    );
  }

  /**
   * Cancels the most recently started streams of idempotent items, which have
   * the least to prefill when they resume.
   */
  #preempt(running: readonly IRunningStream[], surplus: number): void {
    const idempotent = running.filter(({ held }) => held.item.idempotent);
    for (const stream of idempotent.slice(-surplus)) {
      stream.reason = "yield";
      stream.abort.abort();
    }
  }

  #startStreams(engineId: string, free: number): void {
    const { clock, configuration, health } = this.#options;
    const backoffUntil = this.#backoffUntil.get(engineId);
    if (backoffUntil !== undefined && !clock.isPast(backoffUntil)) return;
    if (health.stateOf(engineId) === "ejected") return;
    const engine = configuration.current?.document.engines
      .find(({ id }) => id === engineId);
    for (let count = 0; engine && count < free; count++) {
      const held = this.#source.take(engine);
      if (!held) return;
      void this.#run(held, engine);
    }
  }

  async #run(held: IHeldItem, engine: Engine): Promise<void> {
    const { streams } = this.#options;
    const stream: IRunningStream = {
      held,
      engineId: engine.id,
      abort: new AbortController(),
      reason: undefined,
    };
    this.#running.add(stream);
    const count = streams.begin(engine.id);
    this.#recordStep(held, held.tokens > 0 ? "resumed" : "attempt", engine.id);
    const attempt = new ItemAttempt(held, this.#options);
    const result = await attempt.run(engine, stream.abort.signal);
    count.dispose();
    this.#running.delete(stream);
    if (result.kind === "done") {
      this.#recordStep(held, "done", engine.id);
      this.#source.done(held, result.line);
    } else if (stream.reason) {
      this.#recordStep(held, "cancelled", engine.id, stream.reason);
      this.#source.cancelled(held, stream.reason);
    } else {
      this.#recordStep(held, "failed", engine.id, result.failure.message);
      this.#backOffAfter(engine.id, result.failure);
      this.#source.failed(held, engine, result.failure);
    }
    this.adjust(engine.id);
  }

  #backOffAfter(engineId: string, failure: Failure): void {
    if (failure.code === "bad-request") return;
    if (failure.verdict !== "not-run") return;
    const until = this.#options.clock.deadlineIn(ENGINE_BACKOFF_MILLISECONDS);
    this.#backoffUntil.set(engineId, until);
  }

  #recordStep(
    { item }: IHeldItem,
    step: string,
    target: string,
    reason?: string,
  ): void {
    const subject = `${item.jobId}/${item.index}`;
    this.#options.trace.record(subject, step, { target, reason });
  }
}
