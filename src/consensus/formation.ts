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

/** Time for an answer to a question about identity, in milliseconds. */
const HELLO_TIMEOUT_MILLISECONDS = 1_000;

/** Time for the leader to take in a learner, in milliseconds. */
const JOIN_TIMEOUT_MILLISECONDS = 2_000;

/** Pause between two rounds, in milliseconds. */
const ROUND_MILLISECONDS = 250;

/** Rounds between two events about waiting. */
const ROUNDS_PER_EVENT = 40;

/** A voter as the settings name it. */
export type FounderAddress = PeerAddress & { failureDomain: string };

/** Collaborators and settings of a `Formation`. */
export interface IFormationParts {
  readonly self: FounderAddress;
  readonly founders: () => readonly FounderAddress[];
  readonly start: "bootstrap" | "join";
  readonly identities: IdentityStore;
  readonly rpc: IRpcClient;
  readonly clock: IClock;
  readonly events: IEventLog;
  /** Leader that has announced itself here, if one has. */
  readonly heardLeader: () => PeerAddress | undefined;
}

/**
 * Finds the log that an empty data folder belongs to.
 *
 * A new log is founded only when all voters of the settings have answered
 * twice that they belong to none. Every founder stores the storage
 * identities of all, so one that loses its folder is recognised later. As
 * soon as anybody knows of a log, the folder joins that as a learner.
 */
export class Formation {
  #identity: Identity;
  #parts: IFormationParts;

  constructor(identity: Identity, parts: IFormationParts) {
    this.#identity = identity;
    this.#parts = parts;
  }

  /** Present identity, for those who ask. */
  get identity(): Identity {
    return this.#identity;
  }

  /** Resolves with the identity once it belongs to a log. */
  async run(signal: AbortSignal): Promise<Identity> {
    if (this.#identity.cluster !== undefined) return this.#identity;
    const { self, start, founders } = this.#parts;
    const isFounder = founders().some(({ id }) => id === self.id);
    const founded = start === "bootstrap" && isFounder &&
      await this.#found(signal);
    if (!founded && !signal.aborted) await this.#join(signal);
    return this.#identity;
  }

  /** Resolves with false when there is a log without this folder. */
  async #found(signal: AbortSignal): Promise<boolean> {
    let earlier = "";
    for (let round = 0; !signal.aborted; round++) {
      const hellos = await this.#askFounders();
      const known = hellos.find((hello) => hello?.cluster !== undefined);
      if (known) return await this.#adopt(known);
      const members = this.#members(hellos);
      const agreed = members && identitiesOf(members);
      if (agreed !== undefined && agreed === earlier) {
        const cluster = createHash("sha256").update(agreed).digest("hex");
        await this.#belong(cluster.slice(0, 32), members);
        return true;
      }
      earlier = agreed ?? "";
      if (!members && round % ROUNDS_PER_EVENT === 0) this.#report(hellos);
      if (!members) await this.#pause(signal);
    }
    return true;
  }

  /** Belongs to a log that another founder has begun, if it knows us. */
  async #adopt(hello: Hello): Promise<boolean> {
    const { storage } = this.#identity;
    const { cluster, founders } = hello;
    const isKnown = founders?.some((it) => it.storage === storage) ?? false;
    if (isKnown && cluster !== undefined) await this.#belong(cluster, founders);
    return isKnown;
  }

  async #join(signal: AbortSignal): Promise<void> {
    const { clock, events, founders, rpc, self, heardLeader } = this.#parts;
    const { storage } = this.#identity;
    events.emit(joiningLog, { storage });
    const member = { ...self, storage, promote: false };
    const peers = () => founders().filter(({ id }) => id !== self.id);
    const finder = new LeaderFinder(peers, rpc, { clock });
    for (let round = 0; !signal.aborted; round++) {
      const options = {
        deadline: clock.deadlineIn(JOIN_TIMEOUT_MILLISECONDS),
      };
      const leader = await finder.find(options) ?? heardLeader();
      const answer = leader &&
        await rpc.call(leader, joinMethod, { member }, options);
      if (answer?.isOk()) {
        return await this.#belong(answer.value.cluster, undefined);
      }
      if (round % ROUNDS_PER_EVENT === 0) {
        const reason = (answer?.isErr() && answer.error.message) ||
          "no leader is known";
        events.emit(joinRefused, { reason });
      }
      await this.#pause(signal);
    }
  }

  async #belong(
    cluster: string,
    founders: ReplicaMember[] | undefined,
  ): Promise<void> {
    const identity = { ...this.#identity, cluster, founders };
    await this.#parts.identities.save(identity);
    this.#identity = identity;
    const voters = founders?.map(({ id }) => id) ?? [];
    if (founders) this.#parts.events.emit(logFounded, { cluster, voters });
  }

  async #askFounders(): Promise<(Hello | undefined)[]> {
    const { clock, founders, rpc, self } = this.#parts;
    const deadline = clock.deadlineIn(HELLO_TIMEOUT_MILLISECONDS) as Deadline;
    return await Promise.all(
      founders().map(async (founder) => {
        if (founder.id === self.id) return this.#identity;
        const answer = await rpc.call(founder, helloMethod, {}, { deadline });
        return answer.unwrapOr(undefined);
      }),
    );
  }

  /** All founders with their storage identities, if all have answered. */
  #members(
    hellos: readonly (Hello | undefined)[],
  ): ReplicaMember[] | undefined {
    const members = this.#parts.founders().flatMap((founder, position) => {
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
    const missing = this.#parts.founders()
      .filter((_, position) => hellos[position] === undefined)
      .map(({ id }) => id);
    this.#parts.events.emit(foundingWaits, { missing });
  }

  async #pause(signal: AbortSignal): Promise<void> {
    const { clock } = this.#parts;
    await clock.sleepUntil(clock.deadlineIn(ROUND_MILLISECONDS), signal);
  }
}

/**
 * What all founders agree on. Addresses are left out, because an instance may
 * name another port for itself than the others reach it at.
 */
function identitiesOf(members: readonly ReplicaMember[]): string {
  return JSON.stringify(members.map(({ id, storage }) => [id, storage]));
}
