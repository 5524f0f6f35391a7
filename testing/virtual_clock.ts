import { setImmediate } from "node:timers/promises";
import type { Deadline, IClock } from "../src/common/mod.ts";

interface ISleeper {
  readonly at: number;
  readonly sequence: number;
  readonly wake: () => void;
}

/** Simulated time, which advances only when no task can run. */
export class VirtualTime {
  now = 0;
  #sleepers: ISleeper[] = [];
  #nextSequence = 0;

  /** Calls `wake` at a point in time; returns a function that cancels it. */
  schedule(at: number, wake: () => void): () => void {
    const sleeper = { at, sequence: this.#nextSequence++, wake };
    let low = 0;
    let high = this.#sleepers.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#sleepers[middle]?.at ?? 0) <= at) low = middle + 1;
      else high = middle;
    }
    this.#sleepers.splice(low, 0, sleeper);
    return () => {
      const position = this.#sleepers.indexOf(sleeper);
      if (position !== -1) this.#sleepers.splice(position, 1);
    };
  }

  /** Advances the time; calls `watch` after each timer that fires. */
  async advance(milliseconds: number, watch: () => void = () => {}) {
    const end = this.now + milliseconds;
    await setImmediate();
    for (;;) {
      const [next] = this.#sleepers;
      if (!next || next.at > end) break;
      this.#sleepers.shift();
      this.now = Math.max(this.now, next.at);
      next.wake();
      await setImmediate();
      watch();
    }
    this.now = end;
  }

  /** Advances the time until a condition holds; throws after `limit` ms. */
  async advanceUntil(
    description: string,
    condition: () => boolean,
    limit = 60_000,
  ) {
    const end = this.now + limit;
    while (!condition()) {
      if (this.now >= end) throw new Error(`timed out: ${description}`);
      await this.advance(10);
    }
  }
}

/** Clock of one instance process, which may run fast or slow. */
export class VirtualClock implements IClock {
  /** Whether the process has ended; its sleeps then never resolve. */
  isEnded = false;
  #time: VirtualTime;
  #rate: number;

  constructor(time: VirtualTime, rate = 1) {
    this.#time = time;
    this.#rate = rate;
  }

  monotonic(): Deadline {
    return this.#time.now * this.#rate as Deadline;
  }

  wall(): number {
    return Math.floor(this.#time.now * this.#rate);
  }

  deadlineIn(milliseconds: number): Deadline {
    return this.monotonic() + milliseconds as Deadline;
  }

  remaining(deadline: Deadline): number {
    return Math.max(0, deadline - this.monotonic());
  }

  isPast(deadline: Deadline): boolean {
    return this.monotonic() >= deadline - 1e-6;
  }

  sleepUntil(deadline: Deadline, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (this.isEnded) return;
      if (signal?.aborted) return resolve();
      const finish = () => {
        cancel();
        signal?.removeEventListener("abort", finish);
        if (!this.isEnded) resolve();
      };
      const at = Math.max(this.#time.now, deadline / this.#rate);
      const cancel = this.#time.schedule(at, finish);
      signal?.addEventListener("abort", finish, { once: true });
    });
  }
}
