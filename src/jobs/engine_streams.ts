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

/** Pause of an engine that refused an item, in milliseconds. */
const ENGINE_BACKOFF_MILLISECONDS = 500;

/** Why a stream was cancelled. */
export type CancelReason = "yield" | "stopped" | "lost";

/** Takes items from, and gives them back to, what an instance holds. */
export interface IItemSource {
  /** An item to run at the engine; undefined when there is none. */
  take(engine: Engine): IHeldItem | undefined;
  done(held: IHeldItem, line: string): void;
  failed(held: IHeldItem, engine: Engine, failure: Failure): void;
  /** The stream was cancelled; its output so far is in the item. */
  cancelled(held: IHeldItem, reason: CancelReason): void;
}

/** Collaborators of the streams. */
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

/** Runs as many batch streams at each engine as the allowance permits. */
export class EngineStreams implements IDisposable {
  #source: IItemSource;
  #options: IEngineStreamsOptions;
  /** In the order in which they began. */
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

  /** Items that run now. */
  get items(): IHeldItem[] {
    return [...this.#running].map(({ held }) => held);
  }

  /** Cancels streams above an engine's limit, or begins new ones. */
  adjust(engineId: string): void {
    const running = this.#runningAt(engineId);
    const surplus = running.length - this.#options.allowance.limitOf(engineId);
    if (surplus > 0) this.#cancelNewest(running, surplus);
    else if (surplus < 0) this.#startStreams(engineId, -surplus);
  }

  adjustAll(): void {
    this.#options.allowance.ownedEngines.forEach((id) => this.adjust(id));
  }

  /** Cancels the streams of items that the predicate holds for. */
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

  /** Streams that began last have the least to prefill when they resume. */
  #cancelNewest(running: readonly IRunningStream[], surplus: number): void {
    const idempotent = running.filter(({ held }) => held.item.idempotent);
    for (const stream of idempotent.slice(-surplus)) {
      stream.reason = "yield";
      stream.abort.abort();
    }
  }

  #startStreams(engineId: string, free: number): void {
    const { clock, configuration, health } = this.#options;
    const paused = this.#backoffUntil.get(engineId);
    if (paused !== undefined && !clock.isPast(paused)) return;
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
    const end = await attempt.run(engine, stream.abort.signal);
    count.dispose();
    this.#running.delete(stream);
    if (end.kind === "done") {
      this.#recordStep(held, "done", engine.id);
      this.#source.done(held, end.line);
    } else if (stream.reason) {
      this.#recordStep(held, "cancelled", engine.id, stream.reason);
      this.#source.cancelled(held, stream.reason);
    } else {
      this.#recordStep(held, "failed", engine.id, end.failure.message);
      this.#backOffAfter(engine.id, end.failure);
      this.#source.failed(held, engine, end.failure);
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
