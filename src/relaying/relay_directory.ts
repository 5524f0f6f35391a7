import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { relayAvoided } from "./events.ts";
import type { Relay } from "./messages.ts";

/** Time for which an instance that failed to forward is avoided. */
const AVOIDANCE_MILLISECONDS = 1_000;

/** Instances that can forward requests of this one, as the leader named them. */
export class RelayDirectory {
  #clock: IClock;
  #events: IEventLog;
  #random: () => number;
  #relays: readonly Relay[] = [];
  #avoidUntil = new Map<string, Deadline>();

  /** @param options.random source of random numbers from 0 up to 1. */
  constructor(
    clock: IClock,
    options: { events: IEventLog; random: () => number },
  ) {
    this.#clock = clock;
    this.#events = options.events;
    this.#random = options.random;
  }

  get isEmpty(): boolean {
    return this.#relays.length === 0;
  }

  /** Replaces the instances. */
  update(relays: readonly Relay[]): void {
    this.#relays = relays;
    for (const [address, deadline] of this.#avoidUntil) {
      if (this.#clock.isPast(deadline)) this.#avoidUntil.delete(address);
    }
  }

  /**
   * Chooses an instance at random, so that the load of all instances without
   * links spreads evenly. Undefined if none is known.
   */
  choose(): Relay | undefined {
    const preferred = this.#relays.filter(({ address }) => {
      const deadline = this.#avoidUntil.get(address);
      return deadline === undefined || this.#clock.isPast(deadline);
    });
    const candidates = preferred.length > 0 ? preferred : this.#relays;
    return candidates[Math.floor(this.#random() * candidates.length)];
  }

  /** Avoids an instance that has not forwarded a request. */
  recordFailure({ address }: Relay, reason: string): void {
    this.#avoidUntil.set(
      address,
      this.#clock.deadlineIn(AVOIDANCE_MILLISECONDS),
    );
    this.#events.emit(relayAvoided, { relay: address, reason });
  }
}
