import { createHash } from "node:crypto";
import type { Deadline, IClock } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IRpcClient, PeerAddress } from "../rpc/mod.ts";
import {
  foundingWaits,
  joiningLog,
  joinRefused,
  logFounded,
} from "./events.ts";
import type { Identity, IdentityStore } from "./identity_store.ts";
import { LeaderFinder } from "./leader_finder.ts";
import { type Hello, helloMethod, joinMethod } from "./messages.ts";
import type { ReplicaMember } from "./replica_set.ts";

/** Longest wait for the identity of a founder, in milliseconds. */
const HELLO_TIMEOUT_MILLISECONDS = 1_000;

/** Longest wait until the leader has added a learner, in milliseconds. */
const JOIN_TIMEOUT_MILLISECONDS = 2_000;

/** Pause between two attempts, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 250;

/** Attempts between two events that report the wait. */
const ATTEMPTS_PER_EVENT = 40;

/** Voter in the settings. */
export type FounderAddress = PeerAddress & { failureDomain: string };

/** Dependencies and settings of a `ClusterBootstrap`. */
export interface IClusterBootstrapOptions {
  readonly self: FounderAddress;
  readonly founders: () => readonly FounderAddress[];
  readonly start: "bootstrap" | "join";
  readonly identities: IdentityStore;
  readonly rpc: IRpcClient;
  readonly clock: IClock;
  readonly events: IEventLog;
  /** Leader that has announced itself to this instance, if there is one. */
  readonly announcedLeader: () => PeerAddress | undefined;
}

/**
 * Creates the log of an empty data folder, or joins an existing one.
 *
 * The voters in the settings are its founders: they create a new log only when
 * all of them have answered twice that they belong to none. Every founder
 * stores the storage identities of all, so that one that loses its folder is
 * recognised later. If any founder already belongs to a log that was created
 * without this folder, the folder joins that log as a learner.
 */
export class ClusterBootstrap {
  #identity: Identity;
  #options: IClusterBootstrapOptions;

  constructor(identity: Identity, options: IClusterBootstrapOptions) {
    this.#identity = identity;
    this.#options = options;
  }

  /** Current identity, which is sent to instances that ask for it. */
  get identity(): Identity {
    return this.#identity;
  }

  /** Resolves with the identity once the folder belongs to a log. */
  async run(signal: AbortSignal): Promise<Identity> {
    if (this.#identity.cluster !== undefined) return this.#identity;
    const { self, start, founders } = this.#options;
    const isFounder = founders().some(({ id }) => id === self.id);
    const founded = start === "bootstrap" && isFounder &&
      await this.#bootstrap(signal);
    if (!founded && !signal.aborted) await this.#join(signal);
    return this.#identity;
  }

  /** Resolves with false if a log exists that does not include this folder. */
  async #bootstrap(signal: AbortSignal): Promise<boolean> {
    let previous = "";
    for (let attempt = 0; !signal.aborted; attempt++) {
      const hellos = await this.#queryFounders();
      const member = hellos.find((hello) => hello?.cluster !== undefined);
      if (member) return await this.#joinFoundedLog(member);
      const members = this.#membersIfComplete(hellos);
      const identities = members && serializeIdentities(members);
      if (identities !== undefined && identities === previous) {
        const cluster = createHash("sha256").update(identities).digest("hex");
        await this.#save(cluster.slice(0, 32), members);
        return true;
      }
      previous = identities ?? "";
      if (!members && attempt % ATTEMPTS_PER_EVENT === 0) this.#report(hellos);
      if (!members) await this.#pause(signal);
    }
    return true;
  }

  /** Joins a log of another founder, if that was created with this folder. */
  async #joinFoundedLog(hello: Hello): Promise<boolean> {
    const { storage } = this.#identity;
    const { cluster, founders } = hello;
    const isKnown = founders?.some((it) => it.storage === storage) ?? false;
    if (isKnown && cluster !== undefined) await this.#save(cluster, founders);
    return isKnown;
  }

  async #join(signal: AbortSignal): Promise<void> {
    const { clock, events, founders, rpc, self, announcedLeader } =
      this.#options;
    const { storage } = this.#identity;
    events.emit(joiningLog, { storage });
    const member = { ...self, storage, promote: false };
    const peers = () => founders().filter(({ id }) => id !== self.id);
    const finder = new LeaderFinder(peers, rpc, { clock });
    for (let attempt = 0; !signal.aborted; attempt++) {
      const options = {
        deadline: clock.deadlineIn(JOIN_TIMEOUT_MILLISECONDS),
      };
      const leader = await finder.find(options) ?? announcedLeader();
      const answer = leader &&
        await rpc.call(leader, joinMethod, { member }, options);
      if (answer?.isOk()) {
        return await this.#save(answer.value.cluster, undefined);
      }
      if (attempt % ATTEMPTS_PER_EVENT === 0) {
        const reason = (answer?.isErr() && answer.error.message) ||
          "no leader is known yet";
        events.emit(joinRefused, { reason });
      }
      await this.#pause(signal);
    }
  }

  async #save(
    cluster: string,
    founders: ReplicaMember[] | undefined,
  ): Promise<void> {
    const identity = { ...this.#identity, cluster, founders };
    await this.#options.identities.save(identity);
    this.#identity = identity;
    const voters = founders?.map(({ id }) => id) ?? [];
    if (founders) this.#options.events.emit(logFounded, { cluster, voters });
  }

  async #queryFounders(): Promise<(Hello | undefined)[]> {
    const { clock, founders, rpc, self } = this.#options;
    const deadline = clock.deadlineIn(HELLO_TIMEOUT_MILLISECONDS) as Deadline;
    return await Promise.all(
      founders().map(async (founder) => {
        if (founder.id === self.id) return this.#identity;
        const answer = await rpc.call(founder, helloMethod, {}, { deadline });
        return answer.unwrapOr(undefined);
      }),
    );
  }

  /** Returns all founders with their storage identities, if all answered. */
  #membersIfComplete(
    hellos: readonly (Hello | undefined)[],
  ): ReplicaMember[] | undefined {
    const members = this.#options.founders().flatMap((founder, position) => {
      const hello = hellos[position];
      if (hello?.id !== founder.id) return [];
      const { id, address, port, failureDomain } = founder;
      const { storage } = hello;
      return [{ id, address, port, failureDomain, storage, promote: false }];
    });
    if (members.length < hellos.length) return undefined;
    return members.sort((a, b) => a.id < b.id ? -1 : 1);
  }

  #report(hellos: readonly (Hello | undefined)[]): void {
    const missing = this.#options.founders()
      .filter((_, position) => hellos[position] === undefined)
      .map(({ id }) => id);
    this.#options.events.emit(foundingWaits, { missing });
  }

  async #pause(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    await clock.sleepUntil(
      clock.deadlineIn(RETRY_DELAY_MILLISECONDS),
      signal,
    );
  }
}

/**
 * Serializes the identities on which all founders must agree. Addresses are
 * left out, because an instance may know itself under another port than the
 * one at which the others reach it.
 */
function serializeIdentities(members: readonly ReplicaMember[]): string {
  return JSON.stringify(members.map(({ id, storage }) => [id, storage]));
}
