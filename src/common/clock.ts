import { performance } from "node:perf_hooks";
import type { Deadline } from "./deadline.ts";
import type { IClock } from "./types.ts";

/** Longest delay that `setTimeout` accepts. */
const MAXIMUM_TIMER_MILLISECONDS = 0x7fffffff;

/**
 * Clock of the operating system.
 *
 * Deadlines use the monotonic clock, which advances while the process is
 * stopped, so a resumed process detects that its leases have expired.
 */
export class SystemClock implements IClock {
  monotonic(): Deadline {
    return performance.now() as Deadline;
  }

  wall(): number {
    return Date.now();
  }

  deadlineIn(milliseconds: number): Deadline {
    return (performance.now() + milliseconds) as Deadline;
  }

  remaining(deadline: Deadline): number {
    return Math.max(0, deadline - performance.now());
  }

  isPast(deadline: Deadline): boolean {
    return performance.now() >= deadline;
  }

  sleepUntil(deadline: Deadline, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) return resolve();
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      const timer = setTimeout(
        finish,
        Math.min(this.remaining(deadline), MAXIMUM_TIMER_MILLISECONDS),
      );
      signal?.addEventListener("abort", finish, { once: true });
    });
  }
}
