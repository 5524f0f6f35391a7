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

/** How often the claim is renewed, in milliseconds. */
const CLAIM_INTERVAL_MILLISECONDS = 500;

/** Time that a claim may take, in milliseconds. */
const CLAIM_TIMEOUT_MILLISECONDS = 2_000;

/** Share of the term after which the owner stops, for clock drift. */
const LEASE_SAFETY_FACTOR = 0.95;

/** Keeps this instance's claim on engines' batch streams alive. */
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

  /** Gives up all engines, so that others take them over at once. */
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
    // Counted from here, the term ends before the leader's count of it.
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
