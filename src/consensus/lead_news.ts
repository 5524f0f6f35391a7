import { ok } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IRpcClient, IRpcServer, PeerAddress } from "../rpc/mod.ts";
import { announceLeadMethod, type LeadAnnouncement } from "./messages.ts";
import type { LogStatus } from "./types.ts";

/** Pause between two announcements, in milliseconds. */
const PAUSE_MILLISECONDS = 500;

/** Longest wait for the answer to an announcement, in milliseconds. */
const TIMEOUT_MILLISECONDS = 500;

/** Age from which an announcement says nothing; three were missed, in ms. */
const LIFETIME_MILLISECONDS = 2_000;

/** Collaborators of a `LeadNews`. */
export interface ILeadNewsParts {
  /** Identifier of this instance. */
  readonly self: string;
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  readonly clock: IClock;
  readonly status: () => LogStatus;
  /** Instances that are told who leads, whether they are members or not. */
  readonly audience: () => readonly PeerAddress[];
  /** Whether an instance is a member that follows this replica anyway. */
  readonly isFollowing: (id: string) => boolean;
}

/**
 * Brings the lead of the log to instances outside of it.
 *
 * Others find the leader through the founders of their settings. These may
 * have lost their disks or been replaced as voters, and then know as little as
 * those who ask; so the leader tells them. Members that follow it are not
 * told, so that they do not name a leader from whom they hear no more.
 */
export class LeadNews implements IDisposable {
  #parts: ILeadNewsParts;
  #heard: LeadAnnouncement | undefined;
  #expiresAt = 0 as Deadline;
  #store = new DisposableStore();
  #stopping = new AbortController();

  constructor(parts: ILeadNewsParts) {
    this.#parts = parts;
    this.#store.add(
      parts.server.handle(announceLeadMethod, (announcement) => {
        const { clock } = this.#parts;
        if (announcement.term >= (this.#heard?.term ?? 0)) {
          this.#heard = announcement;
          this.#expiresAt = clock.deadlineIn(LIFETIME_MILLISECONDS);
        }
        return Promise.resolve(ok({}));
      }),
    );
  }

  start(): void {
    void this.#run();
  }

  dispose(): void {
    this.#stopping.abort();
    this.#store.dispose();
  }

  /** Leader of the latest term that was announced lately. */
  get leader(): PeerAddress | undefined {
    const { leader, voters = [] } = this.#latest ?? {};
    return voters.find(({ id }) => id === leader);
  }

  /** Adds the announced lead to a status that knows none or an older one. */
  complete(status: LogStatus): LogStatus {
    const heard = this.#latest;
    if (!heard || heard.term < status.term) return status;
    const isKnown = status.leader !== undefined && heard.term === status.term;
    return isKnown ? status : { ...status, ...heard };
  }

  get #latest(): LeadAnnouncement | undefined {
    const isFresh = !this.#parts.clock.isPast(this.#expiresAt);
    return isFresh ? this.#heard : undefined;
  }

  async #run(): Promise<void> {
    const { clock, status } = this.#parts;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const { role, term, voters } = status();
      if (role === "leader") this.#announce({ term, voters });
      await clock.sleepUntil(clock.deadlineIn(PAUSE_MILLISECONDS), signal);
    }
  }

  #announce(news: Omit<LeadAnnouncement, "leader">): void {
    const { self, rpc, clock, audience, isFollowing } = this.#parts;
    const deadline = clock.deadlineIn(TIMEOUT_MILLISECONDS);
    for (const peer of audience()) {
      if (peer.id === self || isFollowing(peer.id)) continue;
      // Who does not answer is told again with the next announcement.
      const params = { leader: self, ...news };
      void rpc.call(peer, announceLeadMethod, params, { deadline });
    }
  }
}
