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
  #runningFetch: Promise<void> | undefined;

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
    this.#runningFetch ??= this.#fetchNewest().finally(() =>
      this.#runningFetch = undefined
    );
    return this.#runningFetch;
  }

  /** The version in force at a peer; undefined when it does not answer. */
  async fetchVersionFromPeer(
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
    if (accepted) this.#setIfNewer(accepted);
  }

  async #fetchNewest(): Promise<void> {
    const held = this.#holder.accepted;
    const fetched = await this.#requestFromLeader(held?.version);
    const patched = held && fetched.patch
      ? applyPatch(held, fetched.patch)
      : fetched.accepted;
    const accepted = patched ??
      (await this.#requestFromLeader(undefined)).accepted;
    if (accepted) this.#setIfNewer(accepted);
  }

  async #requestFromLeader(
    have: number | undefined,
  ): Promise<FetchedConfiguration> {
    const answer = await this.#control.call(
      fetchConfigurationMethod,
      { have },
      { deadline: this.#clock.deadlineIn(FETCH_TIMEOUT_MILLISECONDS) },
    );
    return answer.unwrapOr({});
  }

  /** Another fetch may have brought a newer version in the meantime. */
  #setIfNewer(accepted: AcceptedConfiguration): void {
    const inForce = this.#holder.current?.version ?? 0;
    if (accepted.version > inForce) this.#holder.setIfNewer(accepted);
  }
}
