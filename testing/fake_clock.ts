import type { Deadline, IClock } from "../src/common/mod.ts";

/** Clock that a test advances by hand. */
export class FakeClock implements IClock {
  #now = 0;
  #sleepers = new Set<() => void>();

  monotonic(): Deadline {
    return this.#now as Deadline;
  }

  wall(): number {
    return this.#now;
  }

  deadlineIn(milliseconds: number): Deadline {
    return (this.#now + milliseconds) as Deadline;
  }

  remaining(deadline: Deadline): number {
    return Math.max(0, deadline - this.#now);
  }

  isPast(deadline: Deadline): boolean {
    return this.#now >= deadline;
  }

  async sleepUntil(deadline: Deadline, signal?: AbortSignal): Promise<void> {
    while (!this.isPast(deadline) && !signal?.aborted) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          signal?.removeEventListener("abort", wake);
          resolve();
        };
        this.#sleepers.add(wake);
        signal?.addEventListener("abort", wake, { once: true });
      });
    }
  }

  /** Advances the time and resolves the sleeps whose deadline has passed. */
  advance(milliseconds: number): void {
    this.#now += milliseconds;
    const sleepers = [...this.#sleepers];
    this.#sleepers.clear();
    for (const wake of sleepers) wake();
  }
}
