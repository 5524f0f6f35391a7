import type { Deadline, IClock } from "../common/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { IRpcClient, PeerAddress } from "../rpc/mod.ts";
import { applyPatch } from "./configuration_patches.ts";
import {
  type AcceptedConfiguration,
  fetchConfigurationMethod,
  type FetchedConfiguration,
  fetchFromPeerMethod,
} from "./messages.ts";
import type { IConfigurationSource } from "./types.ts";

/** Time that one fetch may take, in milliseconds. */
const FETCH_TIMEOUT_MILLISECONDS = 5_000;

/** Fetches configurations and offers them to the holder. */
export class ConfigurationFetcher {
  #control: IControlClient;
  #rpc: IRpcClient;
  #holder: IConfigurationSource;
  #clock: IClock;
  #running: Promise<void> | undefined;

  constructor(
    control: IControlClient,
    rpc: IRpcClient,
    options: { holder: IConfigurationSource; clock: IClock },
  ) {
    this.#control = control;
    this.#rpc = rpc;
    this.#holder = options.holder;
    this.#clock = options.clock;
  }

  /** Brings the leader's newest configuration into force. */
  fetchFromLeader(): Promise<void> {
    this.#running ??= this.#fetch().finally(() => this.#running = undefined);
    return this.#running;
  }

  /** The version in force at a peer; undefined when it does not answer. */
  async versionAtPeer(
    peer: PeerAddress,
    options: { deadline: Deadline },
  ): Promise<number | undefined> {
    const answer = await this.#rpc.call(
      peer,
      fetchFromPeerMethod,
      { whole: false },
      options,
    );
    return answer.isOk() ? answer.value.version : undefined;
  }

  /** Brings the configuration of a peer into force if it is newer. */
  async fetchFromPeer(
    peer: PeerAddress,
    options: { deadline: Deadline },
  ): Promise<void> {
    const answer = await this.#rpc.call(
      peer,
      fetchFromPeerMethod,
      { whole: true },
      { ...options, lane: "bulk" },
    );
    const accepted = answer.unwrapOr({ accepted: undefined }).accepted;
    if (accepted) this.#offer(accepted);
  }

  async #fetch(): Promise<void> {
    const held = this.#holder.accepted;
    const fetched = await this.#call(held?.version);
    const patched = held && fetched.patch
      ? applyPatch(held, fetched.patch)
      : fetched.accepted;
    const accepted = patched ?? (await this.#call(undefined)).accepted;
    if (accepted) this.#offer(accepted);
  }

  async #call(have: number | undefined): Promise<FetchedConfiguration> {
    const answer = await this.#control.call(
      fetchConfigurationMethod,
      { have },
      { deadline: this.#clock.deadlineIn(FETCH_TIMEOUT_MILLISECONDS) },
    );
    return answer.unwrapOr({});
  }

  /** Another fetch may have brought a newer version in the meantime. */
  #offer(accepted: AcceptedConfiguration): void {
    const inForce = this.#holder.current?.version ?? 0;
    if (accepted.version > inForce) this.#holder.offer(accepted);
  }
}
