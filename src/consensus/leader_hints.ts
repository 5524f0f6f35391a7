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

/** Interval between two announcements, in milliseconds. */
const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 500;

/** Longest wait for the answer to an announcement, in milliseconds. */
const ANNOUNCEMENT_TIMEOUT_MILLISECONDS = 500;

/** Age at which an announcement expires, after three missed ones, in ms. */
const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 2_000;

/** Dependencies of a `LeaderHints`. */
export interface ILeaderHintsOptions {
  /** Identifier of this instance. */
  readonly self: string;
  readonly rpc: IRpcClient;
  readonly server: IRpcServer;
  readonly clock: IClock;
  readonly status: () => LogStatus;
  /** Instances that receive announcements, whether they are members or not. */
  readonly recipients: () => readonly PeerAddress[];
  /** Whether an instance is a member that already follows this replica. */
  readonly isFollowing: (id: string) => boolean;
}

/**
 * Announces the leader to instances that do not follow it, and keeps the
 * latest announcement that this instance has received.
 *
 * Instances find the leader through the founders in their settings. Founders
 * that have lost their disks or have been replaced as voters do not know the
 * leader either, so the leader announces itself to them. It does not announce
 * itself to members that follow it, so that they do not keep naming a leader
 * with which they have lost contact.
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

  /** Leader in the current announcement, if that has not expired. */
  get leader(): PeerAddress | undefined {
    const { leader, voters = [] } = this.#currentAnnouncement ?? {};
    return voters.find(({ id }) => id === leader);
  }

  /** Adds the announced leader to a status that has none or an older one. */
  withAnnouncedLeader(status: LogStatus): LogStatus {
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
      // A lost announcement is not retried; the next one replaces it.
      const params = { leader: self, ...announcement };
      void rpc.call(peer, announceLeaderMethod, params, { deadline });
    }
  }
}
