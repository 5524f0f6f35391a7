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

const FETCH_TIMEOUT_MILLISECONDS = 5_000;

/** Fetches configurations and puts them into force if they are newer. */
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

  /** Puts the leader's newest configuration into force. */
  fetchFromLeader(): Promise<void> {
    this.#runningFetch ??= this.#fetchNewest().finally(() =>
      this.#runningFetch = undefined
    );
    return this.#runningFetch;
  }

  /** Returns the version in force at a peer; undefined without an answer. */
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

  /** Puts the configuration of a peer into force if it is newer. */
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

  /** A concurrent fetch may have put a newer version into force. */
  #setIfNewer(accepted: AcceptedConfiguration): void {
    const inForce = this.#holder.current?.version ?? 0;
    if (accepted.version > inForce) this.#holder.setIfNewer(accepted);
  }
}
