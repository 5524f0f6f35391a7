import { ok } from "neverthrow";
import {
  type Deadline,
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { IRpcClient, IRpcServer, PeerAddress } from "../rpc/mod.ts";
import { announceLeaderMethod, type LeaderAnnouncement } from "./messages.ts";
import type { LogStatus } from "./types.ts";

/** Pause between two announcements, in milliseconds. */
const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 500;

/** Longest wait for the answer to an announcement, in milliseconds. */
const ANNOUNCEMENT_TIMEOUT_MILLISECONDS = 500;

/** Age from which an announcement says nothing; three were missed, in ms. */
const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 2_000;

/** Collaborators of a `LeadNews`. */
export interface ILeaderHintsOptions {
  /** Identifier of this instance. */
  readonly self: string;
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  readonly clock: IClock;
  readonly status: () => LogStatus;
  /** Instances that are told who leads, whether they are members or not. */
  readonly recipients: () => readonly PeerAddress[];
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
export class LeaderHints implements IDisposable {
  #options: ILeaderHintsOptions;
  #announcement: LeaderAnnouncement | undefined;
  #expiresAt = 0 as Deadline;
  #store = new DisposableStore();
  #stopping = new AbortController();

  constructor(options: ILeaderHintsOptions) {
    this.#options = options;
    this.#store.add(
      options.server.handle(announceLeaderMethod, (announcement) => {
        const { clock } = this.#options;
        if (announcement.term >= (this.#announcement?.term ?? 0)) {
          this.#announcement = announcement;
          this.#expiresAt = clock.deadlineIn(
            ANNOUNCEMENT_LIFETIME_MILLISECONDS,
          );
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
    const { leader, voters = [] } = this.#currentAnnouncement ?? {};
    return voters.find(({ id }) => id === leader);
  }

  /** Adds the announced lead to a status that knows none or an older one. */
  complete(status: LogStatus): LogStatus {
    const announced = this.#currentAnnouncement;
    if (!announced || announced.term < status.term) return status;
    const isKnown = status.leader !== undefined &&
      announced.term === status.term;
    return isKnown ? status : { ...status, ...announced };
  }

  get #currentAnnouncement(): LeaderAnnouncement | undefined {
    const isFresh = !this.#options.clock.isPast(this.#expiresAt);
    return isFresh ? this.#announcement : undefined;
  }

  async #run(): Promise<void> {
    const { clock, status } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const { role, term, voters } = status();
      if (role === "leader") this.#announce({ term, voters });
      await clock.sleepUntil(
        clock.deadlineIn(ANNOUNCEMENT_INTERVAL_MILLISECONDS),
        signal,
      );
    }
  }

  #announce(announcement: Omit<LeaderAnnouncement, "leader">): void {
    const { self, rpc, clock, recipients, isFollowing } = this.#options;
    const deadline = clock.deadlineIn(ANNOUNCEMENT_TIMEOUT_MILLISECONDS);
    for (const peer of recipients()) {
      if (peer.id === self || isFollowing(peer.id)) continue;
      // Who does not answer is told again with the next announcement.
      const params = { leader: self, ...announcement };
      void rpc.call(peer, announceLeaderMethod, params, { deadline });
    }
  }
}
