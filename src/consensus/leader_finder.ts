import { earlierDeadline, type IClock } from "../common/mod.ts";
import type { IRpcClient, PeerAddress } from "../rpc/mod.ts";
import { statusMethod } from "./messages.ts";
import type { IDeadlineOptions, LogStatus } from "./types.ts";

/** Longest wait for the status of a voter, in milliseconds. */
const STATUS_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Wait after a leader has been named, in which another voter may name the
 * leader of a later term, in milliseconds. It is several times the network
 * latency between failure domains.
 */
const LATER_TERM_WAIT_MILLISECONDS = 50;

/**
 * Asks all voters in parallel for the leader and for the current voters.
 *
 * A search ends when a majority has answered, whether it names a leader or
 * not, or shortly after one voter has named a leader, so that voters that are
 * silent or were removed do not delay it. Concurrent calls share one search.
 */
export class LeaderFinder {
  #configuredVoters: () => readonly PeerAddress[];
  #rpc: IRpcClient;
  #clock: IClock;
  #learned: readonly PeerAddress[] = [];
  #learnedTerm = 0;
  #search: Promise<PeerAddress | undefined> | undefined;

  constructor(
    voters: () => readonly PeerAddress[],
    rpc: IRpcClient,
    options: { clock: IClock },
  ) {
    this.#configuredVoters = voters;
    this.#rpc = rpc;
    this.#clock = options.clock;
  }

  /** Voter with an identifier, if it is known. */
  voter(id: string | undefined): PeerAddress | undefined {
    return this.voters.find((voter) => voter.id === id);
  }

  /** Searches for the leader once. */
  find(options: IDeadlineOptions): Promise<PeerAddress | undefined> {
    const [first, ...others] = this.voters;
    // A single voter is the leader, or rejects the call if it is not.
    if (others.length === 0) return Promise.resolve(first);
    this.#search ??= this.#queryVoters(options).finally(() => {
      this.#search = undefined;
    });
    return this.#search;
  }

  /** Voters in the settings, and those learned from answers since. */
  get voters(): PeerAddress[] {
    const learned = new Set(this.#learned.map(({ id }) => id));
    const configured = this.#configuredVoters().filter(({ id }) =>
      !learned.has(id)
    );
    return [...this.#learned, ...configured];
  }

  #queryVoters(options: IDeadlineOptions): Promise<PeerAddress | undefined> {
    const voters = this.voters;
    const deadline = earlierDeadline(
      options.deadline,
      this.#clock.deadlineIn(STATUS_TIMEOUT_MILLISECONDS),
    );
    const answers: LogStatus[] = [];
    let outstanding = voters.length;
    return new Promise((resolve) => {
      if (outstanding === 0) return resolve(undefined);
      const finish = () => resolve(this.#selectLeader(answers));
      for (const voter of voters) {
        const call = this.#rpc.call(voter, statusMethod, {}, { deadline });
        void call.then((answer) => {
          outstanding -= 1;
          if (answer.isOk()) answers.push(answer.value);
          const isMajority = answers.length * 2 > voters.length;
          if (outstanding === 0 || isMajority) return finish();
          if (!this.#selectLeader(answers)) return;
          const waitEnd = this.#clock.deadlineIn(LATER_TERM_WAIT_MILLISECONDS);
          void this.#clock.sleepUntil(waitEnd).then(finish);
        });
      }
    });
  }

  /** The leader of the latest term that an answer names. */
  #selectLeader(answers: readonly LogStatus[]): PeerAddress | undefined {
    const latest = answers
      .filter(({ leader, role }) => leader !== undefined && role !== "stopped")
      .sort((first, second) => second.term - first.term)[0];
    if (!latest) return undefined;
    if (latest.term >= this.#learnedTerm && latest.voters.length > 0) {
      this.#learned = latest.voters;
      this.#learnedTerm = latest.term;
    }
    return this.voter(latest.leader);
  }
}
