import type { Fleet } from "./fleet_2.ts";

/** Time after which the platform starts an ended process again. */
export const RESTART_MILLISECONDS = 300;

const CHECK_INTERVAL_MILLISECONDS = 100;

/** Starts stores again that have ended by themselves, as the platform does. */
export class Restarter {
  #timer: NodeJS.Timeout;
  #handled = new Set<unknown>();
  #restarts = new Set<NodeJS.Timeout>();

  constructor(fleet: Fleet) {
    this.#timer = setInterval(() => {
      for (const store of fleet.stores) {
        const { child, isExpectedToEnd } = store;
        const hasEnded = child.exitCode !== null || child.signalCode !== null;
        if (!hasEnded || isExpectedToEnd || this.#handled.has(child)) continue;
        this.#handled.add(child);
        this.#restarts.add(
          setTimeout(() => void fleet.restart(store), RESTART_MILLISECONDS),
        );
      }
    }, CHECK_INTERVAL_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
    for (const restart of this.#restarts) clearTimeout(restart);
  }
}
