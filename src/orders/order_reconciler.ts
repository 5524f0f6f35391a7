import {
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { ConfigurationSection, Engine } from "../configuration/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IEngineAdapter } from "../targets/mod.ts";
import { computeOrders, loadsWeights } from "./desired_state.ts";
import { engineUnreadable } from "./events.ts";
import { LoadRateLimiter } from "./load_rate_limiter.ts";
import type { IOrderIssuer } from "./types.ts";

/** Pause between runs while an engine differs from its desired state. */
const CONVERGING_PAUSE_MILLISECONDS = 1_000;

/** Pause between runs when all engines are in their desired state. */
const IDLE_PAUSE_MILLISECONDS = 30_000;

const STATE_TIMEOUT_MILLISECONDS = 5_000;

const MAXIMUM_CONCURRENT_ENGINES = 16;

export interface IOrderReconcilerOptions {
  readonly section: ConfigurationSection;
  readonly issuer: IOrderIssuer;
  readonly engines: IEngineAdapter;
  readonly clock: IClock;
  readonly events: IEventLog;
}

/**
 * Reconciles the state of engines with the inventory, on the log's leader:
 * reads each engine's state and issues the orders that are missing.
 */
export class OrderReconciler implements IDisposable {
  #log: IReplicatedLog;
  #options: IOrderReconcilerOptions;
  #clock: IClock;
  #loadRateLimiter: LoadRateLimiter;
  #wake = new AbortController();
  #store = new DisposableStore();
  #disposed = false;

  constructor(log: IReplicatedLog, options: IOrderReconcilerOptions) {
    this.#log = log;
    this.#options = options;
    this.#clock = options.clock;
    this.#loadRateLimiter = new LoadRateLimiter(options.clock);
    this.#store.add(options.section.onAccepted(() => this.#wake.abort()));
    this.#store.add(log.onLeadershipChange(() => {
      this.#loadRateLimiter.reset();
      this.#wake.abort();
    }));
  }

  /** Starts the reconciliation task. */
  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#disposed = true;
    this.#wake.abort();
    this.#store.dispose();
  }

  /**
   * Reads the state of all engines and issues the orders that may be issued
   * now. Resolves to whether all engines are in their desired state.
   */
  async reconcileAll(): Promise<boolean> {
    if (!this.#log.leadership.isLeader) return true;
    const engines = this.#options.section.current?.document.engines ?? [];
    const pending = engines.filter(({ serves }) => serves !== undefined);
    let isConverged = true;
    const worker = async () => {
      for (let next = pending.shift(); next; next = pending.shift()) {
        isConverged = await this.#reconcile(next) && isConverged;
      }
    };
    await Promise.all(
      Array.from({ length: MAXIMUM_CONCURRENT_ENGINES }, worker),
    );
    return isConverged;
  }

  async #run(): Promise<void> {
    while (!this.#disposed) {
      this.#wake = new AbortController();
      const isConverged = await this.reconcileAll();
      const pause = isConverged
        ? IDLE_PAUSE_MILLISECONDS
        : CONVERGING_PAUSE_MILLISECONDS;
      const next = this.#clock.deadlineIn(pause);
      await this.#clock.sleepUntil(next, this.#wake.signal);
    }
  }

  /** Resolves to whether the engine is in its desired state. */
  async #reconcile(engine: Engine): Promise<boolean> {
    const { engines, issuer, events } = this.#options;
    if (!issuer.mayIssue(engine)) return false;
    const state = await engines.state(engine, {
      deadline: this.#clock.deadlineIn(STATE_TIMEOUT_MILLISECONDS),
    });
    if (state.isErr()) {
      const reason = state.error.message;
      events.emit(engineUnreadable, { engine: engine.id, reason });
      return false;
    }
    const weightsStore = this.#options.section.current?.document.weightsStore;
    for (const order of computeOrders(engine, state.value)) {
      const isRateLimited = loadsWeights(order);
      if (
        isRateLimited &&
        !this.#loadRateLimiter.tryAcquire(weightsStore?.loadsPerMinute)
      ) return false;
      // After a failed order, the next run reads the state again before it
      // issues further orders.
      const answer = await issuer.issue(engine, order);
      if (answer.isErr()) return false;
    }
    return true;
  }
}
