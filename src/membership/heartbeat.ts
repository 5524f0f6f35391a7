import { type Deadline, DisposableStore, Emitter } from "../common/mod.ts";
import type { IClock, IDisposable } from "../common/mod.ts";
import type {
  ConfigurationFetcher,
  IConfigurationSource,
} from "../configuration/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { IPlatformAdapter } from "../targets/mod.ts";
import { applyMemberChanges } from "./member_list.ts";
import {
  type FleetRevision,
  heartbeatMethod,
  type Instance,
  type Member,
  NO_REVISION,
} from "./messages.ts";
import type { IFleetTargets, IFreshness, IMembership } from "./types.ts";

/** Least time between two heartbeats, in milliseconds. */
const MINIMUM_INTERVAL_MILLISECONDS = 100;

/** Pause after a heartbeat that failed, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 500;

/** Time that a heartbeat may take, in milliseconds. */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 3_000;

/** Silence of the leader after which this instance is disconnected. */
const DISCONNECTED_AFTER_MILLISECONDS = 5_000;

/** Collaborators of the heartbeat. */
export interface IHeartbeatOptions {
  readonly configuration: IConfigurationSource;
  readonly fetcher: ConfigurationFetcher;
  readonly clock: IClock;
  readonly platform: IPlatformAdapter | undefined;
}

/** Tells the leader of this instance and learns of the fleet from it. */
export class Heartbeat
  implements IMembership, IFleetTargets, IFreshness, IDisposable {
  #instance: Instance;
  #control: IControlClient;
  #configuration: IConfigurationSource;
  #fetcher: ConfigurationFetcher;
  #clock: IClock;
  #platform: IPlatformAdapter | undefined;
  #members: readonly Member[] = [];
  #leavingTargets: ReadonlySet<string> = new Set();
  #revision: FleetRevision = NO_REVISION;
  /** Epoch whose leader knows this instance's platform list. */
  #reportedEpoch = "";
  #answeredAt: Deadline | undefined;
  #change = new Emitter<readonly Member[]>();
  readonly onChange = this.#change.event;
  #leavingChange = new Emitter<ReadonlySet<string>>();
  readonly onLeavingTargetsChange = this.#leavingChange.event;
  #confirmed = new Emitter<Deadline>();
  readonly onConfirmed = this.#confirmed.event;
  #stop = new AbortController();
  #store = new DisposableStore();

  constructor(
    instance: Instance,
    control: IControlClient,
    options: IHeartbeatOptions,
  ) {
    this.#instance = instance;
    this.#control = control;
    this.#configuration = options.configuration;
    this.#fetcher = options.fetcher;
    this.#clock = options.clock;
    this.#platform = options.platform;
    if (!this.#platform) return;
    this.#store.add(this.#platform.onChange(() => {
      this.#reportedEpoch = "";
      void this.#beat();
    }));
  }

  get self(): Instance {
    return {
      ...this.#instance,
      configurationVersion: this.#configuration.current?.version ?? 0,
    };
  }

  get members(): readonly Member[] {
    return this.#members;
  }

  get leavingTargets(): ReadonlySet<string> {
    return this.#leavingTargets;
  }

  get isConnected(): boolean {
    if (this.#answeredAt === undefined) return false;
    const silence = this.#clock.monotonic() - this.#answeredAt;
    return silence < DISCONNECTED_AFTER_MILLISECONDS;
  }

  /** Sets the state and tells the leader at once. */
  async setState(state: Instance["state"]): Promise<void> {
    this.#instance = { ...this.#instance, state };
    await this.#beat();
  }

  /** Starts the heartbeat task. */
  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stop.abort();
    this.#store.dispose();
    this.#change.dispose();
    this.#leavingChange.dispose();
    this.#confirmed.dispose();
  }

  /** The leader holds answers, so this loop has no interval of its own. */
  async #run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const earliest = this.#clock.deadlineIn(MINIMUM_INTERVAL_MILLISECONDS);
      const answered = await this.#beat();
      const next = answered
        ? earliest
        : this.#clock.deadlineIn(RETRY_PAUSE_MILLISECONDS);
      await this.#clock.sleepUntil(next, signal);
    }
  }

  /** Sends one heartbeat; resolves with whether it was answered. */
  async #beat(): Promise<boolean> {
    const beganAt = this.#clock.monotonic();
    const revision = this.#revision;
    const platform = this.#reportedEpoch === revision.epoch
      ? undefined
      : this.#report();
    const answer = await this.#control.call(heartbeatMethod, {
      instance: this.self,
      revision,
      platform,
    }, { deadline: this.#clock.deadlineIn(HEARTBEAT_TIMEOUT_MILLISECONDS) });
    if (answer.isErr()) return false;
    this.#answeredAt = this.#clock.monotonic();
    if (platform && this.#isCurrent(platform)) {
      this.#reportedEpoch = answer.value.revision.epoch;
    }
    this.#take(answer.value, revision);
    await this.#confirm(answer.value.configurationVersion, beganAt);
    return true;
  }

  #take(
    answer: typeof heartbeatMethod["result"]["_output"],
    asked: FleetRevision,
  ): void {
    // Of two answers on the way, the one to the older question is dropped.
    if (this.#revision !== asked) return;
    this.#revision = answer.revision;
    if (answer.members) {
      this.#members = applyMemberChanges(this.#members, answer.members);
      this.#change.fire(this.#members);
    }
    if (answer.leavingTargets) {
      this.#leavingTargets = new Set(answer.leavingTargets);
      this.#leavingChange.fire(this.#leavingTargets);
    }
  }

  /** Brings the newest configuration into force and confirms that it is. */
  async #confirm(newest: number, beganAt: Deadline): Promise<void> {
    const inForce = () => this.#configuration.current?.version ?? 0;
    if (newest > inForce()) await this.#fetcher.fetchFromLeader();
    if (newest <= inForce()) this.#confirmed.fire(beganAt);
  }

  #report() {
    const entries = this.#platform?.entries ?? [];
    const leaving = entries.filter(({ state }) => state === "leaving");
    return { leaving: leaving.map(({ id }) => id).sort() };
  }

  #isCurrent(report: { leaving: string[] }): boolean {
    return JSON.stringify(report) === JSON.stringify(this.#report());
  }
}
