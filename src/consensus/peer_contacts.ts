import type { PeerReplicator } from "./peer_replicator.ts";
import { allMembers } from "./replica_set.ts";
import type { ReplicaState } from "./replica_state.ts";

/** What a leader knows of the other members from their answers. */
export class PeerContacts {
  #state: ReplicaState;
  #peers: ReadonlyMap<string, PeerReplicator>;

  /** @param peers replicators of this term, by storage identity. */
  constructor(
    state: ReplicaState,
    peers: ReadonlyMap<string, PeerReplicator>,
  ) {
    this.#state = state;
    this.#peers = peers;
  }

  /** When a peer was last in contact; undefined if it is not a member. */
  contactAt(storage: string): number | undefined {
    return this.#peers.get(storage)?.contactAt;
  }

  /** Last index that is durable on a peer; undefined if it is not a member. */
  matchIndex(storage: string): number | undefined {
    return this.#peers.get(storage)?.matchIndex;
  }

  /**
   * Time since the peer was last in contact, or since replication to it
   * started if that was later.
   */
  timeSinceContact(storage: string): number {
    return this.#state.clock.monotonic() - this.#lastSign(storage);
  }

  /**
   * Time between the last contact with the peer and the latest contact with
   * any peer. Unlike `timeSinceContact`, it does not grow while the leader's
   * own process stands still.
   */
  relativeSilence(storage: string): number {
    const contacts = [...this.#peers.values()].map((peer) => peer.contactAt);
    return Math.max(0, Math.max(...contacts) - this.#lastSign(storage));
  }

  /** Whether no process accepts calls at the peer's address. */
  isRefusing(storage: string): boolean {
    return this.#peers.get(storage)?.isRefusing ?? false;
  }

  /** Whether a member with an identifier answers this leader. */
  isFollowedBy(id: string): boolean {
    const { clock, timing, replicas } = this.#state;
    const earliest = clock.monotonic() - timing.minimumElectionTimeout;
    return allMembers(replicas).some((member) =>
      member.id === id && (this.contactAt(member.storage) ?? 0) > earliest
    );
  }

  /** Last time at which the peer is known or assumed to have answered. */
  #lastSign(storage: string): number {
    const peer = this.#peers.get(storage);
    if (!peer) return this.#state.clock.monotonic();
    const { precedingLeader } = this.#state;
    const assumedAt = precedingLeader?.storage === storage
      ? precedingLeader.contactAt
      : peer.startedAt;
    return Math.max(peer.contactAt, assumedAt);
  }
}
