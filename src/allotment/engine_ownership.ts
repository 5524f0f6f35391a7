import {
  type Deadline,
  Emitter,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { PeerAddress } from "../rpc/mod.ts";
import { OWNERSHIP_LEASE_MILLISECONDS } from "./engine_assigner.ts";
import { enginesOwned } from "./events.ts";
import { claimEnginesMethod } from "./messages.ts";
import type { IEngineOwner, IEngineOwnership } from "./types.ts";

/** Interval at which the claim is renewed. */
const CLAIM_INTERVAL_MILLISECONDS = 500;

/** Timeout of a claim. */
const CLAIM_TIMEOUT_MILLISECONDS = 2_000;

/**
 * Share of the lease after which the owner stops using it, as a margin for
 * clock drift.
 */
const LEASE_SAFETY_FACTOR = 0.95;

/** Claims engines' batch streams for this instance and renews the claim. */
export class EngineOwnership implements IEngineOwnership, IDisposable {
  #self: { address: PeerAddress; region: string };
  #control: IControlClient;
  #clock: IClock;
  #events: IEventLog;
  #owned = new Set<string>();
  #leaseEnd: Deadline;
  #others: readonly IEngineOwner[] = [];
  #revision = "";
  #change = new Emitter<void>();
  readonly onChange = this.#change.event;
  #stop = new AbortController();

  constructor(
    self: { address: PeerAddress; region: string },
    control: IControlClient,
    options: { clock: IClock; events: IEventLog },
  ) {
    this.#self = self;
    this.#control = control;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#leaseEnd = options.clock.monotonic();
  }

  get owned(): ReadonlySet<string> {
    return this.#clock.isPast(this.#leaseEnd) ? new Set() : this.#owned;
  }

  get others(): readonly IEngineOwner[] {
    return this.#others;
  }

  start(): void {
    void this.#run();
  }

  /**
   * Gives up all engines, so that other instances can take them over without
   * waiting for the lease to expire.
   */
  async leave(): Promise<void> {
    this.#stop.abort();
    this.#owned = new Set();
    this.#change.fire();
    await this.#claim(false);
  }

  dispose(): void {
    this.#stop.abort();
    this.#change.dispose();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const next = this.#clock.deadlineIn(CLAIM_INTERVAL_MILLISECONDS);
      await this.#claim(true);
      await this.#clock.sleepUntil(next, signal);
    }
  }

  async #claim(accepting: boolean): Promise<void> {
    // The lease is counted from before the call, so it expires here before it
    // expires at the leader.
    const leaseEnd = this.#clock.deadlineIn(
      OWNERSHIP_LEASE_MILLISECONDS * LEASE_SAFETY_FACTOR,
    );
    const answer = await this.#control.call(claimEnginesMethod, {
      ...this.#self,
      claims: [...this.owned],
      accepting,
      revision: this.#revision,
    }, { deadline: this.#clock.deadlineIn(CLAIM_TIMEOUT_MILLISECONDS) });
    if (answer.isErr()) {
      if (this.#clock.isPast(this.#leaseEnd)) this.#change.fire();
      return;
    }
    if (this.#stop.signal.aborted) return;
    const { owned, revision, owners } = answer.value;
    const before = [...this.owned].sort().join();
    this.#leaseEnd = leaseEnd;
    this.#owned = new Set(owned);
    if (owners) {
      const self = this.#self.address.id;
      this.#others = owners.filter(({ address }) => address.id !== self);
      this.#revision = revision;
    }
    const changed = before !== [...owned].sort().join();
    if (changed) this.#events.emit(enginesOwned, { engines: owned.length });
    if (owners || changed) this.#change.fire();
  }
}
