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
import type {
  IConfigurationFreshness,
  ILeavingTargets,
  IMembership,
} from "./types.ts";

/** Minimum time from the start of one heartbeat to the next. */
const MINIMUM_INTERVAL_MILLISECONDS = 100;

/** Delay before the next heartbeat after one that failed. */
const RETRY_DELAY_MILLISECONDS = 500;

/** Timeout of one heartbeat, including the time the leader holds it. */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 3_000;

/** Time without an answer after which `isConnected` is false. */
const DISCONNECTED_AFTER_MILLISECONDS = 5_000;

export interface IHeartbeatClientOptions {
  readonly configuration: IConfigurationSource;
  readonly fetcher: ConfigurationFetcher;
  readonly clock: IClock;
  readonly platform: IPlatformAdapter | undefined;
}

/**
 * Sends this instance's state to the leader in heartbeats and receives the
 * state of the fleet in the answers.
 */
export class HeartbeatClient
  implements
    IMembership,
    ILeavingTargets,
    IConfigurationFreshness,
    IDisposable {
  #instance: Instance;
  #control: IControlClient;
  #configuration: IConfigurationSource;
  #fetcher: ConfigurationFetcher;
  #clock: IClock;
  #platform: IPlatformAdapter | undefined;
  #members: readonly Member[] = [];
  #leavingTargets: ReadonlySet<string> = new Set();
  #revision: FleetRevision = NO_REVISION;
  /** Epoch of the leader that has received this instance's platform list. */
  #reportedEpoch = "";
  #lastAnswerAt: Deadline | undefined;
  #membersChange = new Emitter<readonly Member[]>();
  readonly onChange = this.#membersChange.event;
  #leavingTargetsChange = new Emitter<ReadonlySet<string>>();
  readonly onLeavingTargetsChange = this.#leavingTargetsChange.event;
  #confirmed = new Emitter<Deadline>();
  readonly onConfirmed = this.#confirmed.event;
  #sequence = 0;
  #stop = new AbortController();
  #store = new DisposableStore();

  constructor(
    instance: Instance,
    control: IControlClient,
    options: IHeartbeatClientOptions,
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
      void this.#sendHeartbeat();
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
    if (this.#lastAnswerAt === undefined) return false;
    const elapsed = this.#clock.monotonic() - this.#lastAnswerAt;
    return elapsed < DISCONNECTED_AFTER_MILLISECONDS;
  }

  /** Sets the state and sends it to the leader immediately. */
  async setState(state: Instance["state"]): Promise<void> {
    this.#instance = { ...this.#instance, state };
    await this.#sendHeartbeat();
  }

  /** Starts the task that sends heartbeats. */
  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stop.abort();
    this.#store.dispose();
    this.#membersChange.dispose();
    this.#leavingTargetsChange.dispose();
    this.#confirmed.dispose();
  }

  /**
   * The leader holds each answer until there is an update (a long poll), so
   * this loop needs no interval beyond the minimum.
   */
  async #run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const earliest = this.#clock.deadlineIn(MINIMUM_INTERVAL_MILLISECONDS);
      const answered = await this.#sendHeartbeat();
      const next = answered
        ? earliest
        : this.#clock.deadlineIn(RETRY_DELAY_MILLISECONDS);
      await this.#clock.sleepUntil(next, signal);
    }
  }

  /** Sends one heartbeat; resolves to whether it was answered. */
  async #sendHeartbeat(): Promise<boolean> {
    const startedAt = this.#clock.monotonic();
    const revision = this.#revision;
    const platform = this.#reportedEpoch === revision.epoch
      ? undefined
      : this.#createPlatformReport();
    this.#sequence += 1;
    const answer = await this.#control.call(heartbeatMethod, {
      instance: this.self,
      sequence: this.#sequence,
      revision,
      platform,
    }, { deadline: this.#clock.deadlineIn(HEARTBEAT_TIMEOUT_MILLISECONDS) });
    if (answer.isErr()) return false;
    this.#lastAnswerAt = this.#clock.monotonic();
    if (platform && this.#isCurrentReport(platform)) {
      this.#reportedEpoch = answer.value.revision.epoch;
    }
    this.#applyResult(answer.value, revision);
    await this.#ensureNewestConfiguration(
      answer.value.configurationVersion,
      startedAt,
    );
    return true;
  }

  #applyResult(
    result: typeof heartbeatMethod["result"]["_output"],
    requestedRevision: FleetRevision,
  ): void {
    // When two heartbeats overlap, the second answer may be based on a
    // revision that the first has already replaced. It is dropped.
    if (this.#revision !== requestedRevision) return;
    this.#revision = result.revision;
    if (result.members) {
      this.#members = applyMemberChanges(this.#members, result.members);
      this.#membersChange.fire(this.#members);
    }
    if (result.leavingTargets) {
      this.#leavingTargets = new Set(result.leavingTargets);
      this.#leavingTargetsChange.fire(this.#leavingTargets);
    }
  }

  /**
   * Fetches the newest configuration if it is not in force here, and fires
   * `onConfirmed` once it is.
   */
  async #ensureNewestConfiguration(
    newestVersion: number,
    startedAt: Deadline,
  ): Promise<void> {
    const inForce = () => this.#configuration.current?.version ?? 0;
    if (newestVersion > inForce()) await this.#fetcher.fetchFromLeader();
    if (newestVersion <= inForce()) this.#confirmed.fire(startedAt);
  }

  #createPlatformReport() {
    const entries = this.#platform?.entries ?? [];
    const leaving = entries.filter(({ state }) => state === "leaving");
    return { leaving: leaving.map(({ id }) => id).sort() };
  }

  #isCurrentReport(report: { leaving: string[] }): boolean {
    return JSON.stringify(report) ===
      JSON.stringify(this.#createPlatformReport());
  }
}
