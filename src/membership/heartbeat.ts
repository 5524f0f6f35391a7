import { type Deadline, Emitter } from "../common/mod.ts";
import type { IClock, IDisposable } from "../common/mod.ts";
import {
  fetchConfigurationMethod,
  type IConfigurationSource,
} from "../configuration/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import { heartbeatMethod, type Instance, type Member } from "./messages.ts";
import type { IMembership } from "./types.ts";

/** How often the leader hears from this instance, in milliseconds. */
const HEARTBEAT_INTERVAL_MILLISECONDS = 1_000;

/** Time that a heartbeat may take, in milliseconds. */
const HEARTBEAT_TIMEOUT_MILLISECONDS = 3_000;

/** Silence of the leader after which this instance is disconnected. */
const DISCONNECTED_AFTER_MILLISECONDS = 5_000;

/** Tells the leader of this instance and learns of the fleet from it. */
export class Heartbeat implements IMembership, IDisposable {
  #instance: Instance;
  #control: IControlClient;
  #configuration: IConfigurationSource;
  #clock: IClock;
  #members: readonly Member[] = [];
  #revision = "";
  #answeredAt: Deadline | undefined;
  #change = new Emitter<readonly Member[]>();
  readonly onChange = this.#change.event;
  #stop = new AbortController();

  constructor(
    instance: Instance,
    control: IControlClient,
    options: { configuration: IConfigurationSource; clock: IClock },
  ) {
    this.#instance = instance;
    this.#control = control;
    this.#configuration = options.configuration;
    this.#clock = options.clock;
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

  get isConnected(): boolean {
    if (this.#answeredAt === undefined) return false;
    const silence = this.#clock.monotonic() - this.#answeredAt;
    return silence < DISCONNECTED_AFTER_MILLISECONDS;
  }

  /** Sets the state that the next heartbeat tells. */
  setState(state: Instance["state"]): void {
    this.#instance = { ...this.#instance, state };
  }

  /** Starts the heartbeat task. */
  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stop.abort();
    this.#change.dispose();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stop;
    while (!signal.aborted) {
      const next = this.#clock.deadlineIn(HEARTBEAT_INTERVAL_MILLISECONDS);
      await this.#beat();
      await this.#clock.sleepUntil(next, signal);
    }
  }

  async #beat(): Promise<void> {
    const answer = await this.#control.call(heartbeatMethod, {
      instance: this.self,
      membersRevision: this.#revision,
    }, this.#deadline());
    if (answer.isErr()) return;
    const { members, membersRevision, configurationVersion } = answer.value;
    this.#answeredAt = this.#clock.monotonic();
    if (members) {
      this.#members = members;
      this.#revision = membersRevision;
      this.#change.fire(members);
    }
    const inForce = this.#configuration.current?.version ?? 0;
    if (configurationVersion > inForce) await this.#fetchConfiguration();
  }

  async #fetchConfiguration(): Promise<void> {
    const answer = await this.#control.call(
      fetchConfigurationMethod,
      {},
      this.#deadline(),
    );
    const accepted = answer.unwrapOr({ accepted: undefined }).accepted;
    if (accepted) this.#configuration.offer(accepted);
  }

  #deadline() {
    return { deadline: this.#clock.deadlineIn(HEARTBEAT_TIMEOUT_MILLISECONDS) };
  }
}
