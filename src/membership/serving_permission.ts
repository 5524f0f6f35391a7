import {
  type Deadline,
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type {
  ConfigurationFetcher,
  IConfigurationSource,
} from "../configuration/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { PeerAddress } from "../rpc/mod.ts";
import { servingRefused, servingResumed } from "./events.ts";
import type {
  IConfigurationFreshness,
  IMembership,
  IServingPermission,
} from "./types.ts";

/**
 * Time for which a proof that the configuration is the newest allows to
 * serve, in milliseconds.
 */
const PERMISSION_DURATION_MILLISECONDS = 7_000;

/** Time left at which peers are probed, in milliseconds. */
const PROBE_THRESHOLD_MILLISECONDS = 4_000;

/** How often the time left is reviewed, in milliseconds. */
const REVIEW_INTERVAL_MILLISECONDS = 500;

/** Time that asking the peers may take, in milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** Time that fetching a document from a peer may take, in milliseconds. */
const FETCH_TIMEOUT_MILLISECONDS = 2_000;

/** Peers that are probed beside the voters. */
const MAXIMUM_PROBED_PEERS = 24;

/** Collaborators of the permission. */
export interface IServingPermissionOptions {
  readonly clock: IClock;
  readonly configuration: IConfigurationSource;
  readonly freshness: IConfigurationFreshness;
  readonly membership: IMembership;
  readonly fetcher: ConfigurationFetcher;
  readonly voters: () => readonly PeerAddress[];
  readonly events: IEventLog;
}

/** A peer and the version that it has in force. */
interface IPeerVersion {
  readonly peer: PeerAddress;
  readonly version: number;
}

/**
 * Decides whether callers may be served by the configuration in force here.
 *
 * A confirmed heartbeat gives permission for a while. Without one, a quorum
 * of voters or half of the fleet have to answer, and the newest configuration
 * among them is taken over. The leader accepts changes only while it hears
 * more than half of the fleet, so the two groups have an instance in common.
 * An instance that reaches neither stops before the change counts as in force
 * everywhere. A fleet without a quorum goes on, because nothing is accepted.
 */
export class ServingPermission implements IServingPermission, IDisposable {
  #options: IServingPermissionOptions;
  #clock: IClock;
  #expiresAt: Deadline | undefined;
  #isProbing = false;
  #wasServing = false;
  #store = new DisposableStore();

  constructor(options: IServingPermissionOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#store.add(
      options.freshness.onConfirmed((startedAt) => this.#extend(startedAt)),
    );
    const timer = setInterval(
      () => void this.#renew(),
      REVIEW_INTERVAL_MILLISECONDS,
    );
    this.#store.add({ dispose: () => clearInterval(timer) });
  }

  /** Compares with the clock, so a process that was stopped says no. */
  get mayServe(): boolean {
    return this.#expiresAt !== undefined &&
      !this.#clock.isPast(this.#expiresAt);
  }

  get reason(): string {
    if (this.#options.configuration.current === undefined) {
      return "no configuration is in force yet";
    }
    if (this.#expiresAt === undefined) return "the leader has not answered yet";
    if (this.mayServe) return "the configuration in force is the newest";
    return "cut off: neither a quorum of voters nor half of the fleet answers";
  }

  dispose(): void {
    this.#store.dispose();
  }

  #extend(startedAt: Deadline): void {
    const expiry = (startedAt + PERMISSION_DURATION_MILLISECONDS) as Deadline;
    if (this.#expiresAt !== undefined && expiry <= this.#expiresAt) return;
    this.#expiresAt = expiry;
  }

  async #renew(): Promise<void> {
    this.#emitChange();
    // An instance that never heard a leader has nothing to compare.
    if (this.#expiresAt === undefined || this.#isProbing) return;
    if (
      this.#clock.remaining(this.#expiresAt) > PROBE_THRESHOLD_MILLISECONDS
    ) return;
    this.#isProbing = true;
    const startedAt = this.#clock.monotonic();
    if (await this.#probeFleet()) this.#extend(startedAt);
    this.#isProbing = false;
  }

  /** Asks voters and peers, and takes over the newest configuration. */
  async #probeFleet(): Promise<boolean> {
    const { membership, voters } = this.#options;
    const self = membership.self.id;
    const peers = membership.members.filter(({ id, health, state }) =>
      id !== self && health !== "lost" && state !== "leaving"
    );
    const deadline = this.#clock.deadlineIn(PROBE_TIMEOUT_MILLISECONDS);
    const [voterAnswers, peerAnswers] = await Promise.all([
      this.#fetchVersions(voters().filter(({ id }) => id !== self), deadline),
      this.#fetchVersions(sample(peers, MAXIMUM_PROBED_PEERS), deadline),
    ]);
    await this.#fetchNewest([...voterAnswers, ...peerAnswers]);
    const ownVote = voters().some(({ id }) => id === self) ? 1 : 0;
    const voterCount = this.#countNotNewer(voterAnswers) + ownVote;
    if (voterCount * 2 > voters().length) return true;
    const probed = Math.min(peers.length, MAXIMUM_PROBED_PEERS);
    const peerCount = this.#countNotNewer(peerAnswers) + 1;
    return peers.length > 0 && peerCount * 2 >= probed + 1;
  }

  /** Asks peers for their versions; returns the answers that came in time. */
  async #fetchVersions(
    peers: readonly PeerAddress[],
    deadline: Deadline,
  ): Promise<IPeerVersion[]> {
    const { fetcher } = this.#options;
    const answers = await Promise.all(peers.map(async (peer) => ({
      peer,
      version: await fetcher.fetchVersionFromPeer(peer, { deadline }),
    })));
    return answers.flatMap(({ peer, version }) =>
      version === undefined ? [] : [{ peer, version }]
    );
  }

  /** Fetches the document from one peer only; it may be large. */
  async #fetchNewest(answers: readonly IPeerVersion[]): Promise<void> {
    const [newest] = answers.toSorted((first, second) =>
      second.version - first.version
    );
    if (!newest || newest.version <= this.#version) return;
    const deadline = this.#clock.deadlineIn(FETCH_TIMEOUT_MILLISECONDS);
    await this.#options.fetcher.fetchFromPeer(newest.peer, { deadline });
  }

  #countNotNewer(answers: readonly IPeerVersion[]): number {
    return answers.filter(({ version }) => version <= this.#version).length;
  }

  get #version(): number {
    return this.#options.configuration.current?.version ?? 0;
  }

  #emitChange(): void {
    const isServing = this.mayServe;
    if (isServing === this.#wasServing) return;
    this.#wasServing = isServing;
    const version = this.#version;
    const { events } = this.#options;
    if (isServing) events.emit(servingResumed, { version });
    else events.emit(servingRefused, { version, reason: this.reason });
  }
}

/** A random choice without repetition. */
function sample<T>(values: readonly T[], size: number): T[] {
  const rest = [...values];
  const chosen: T[] = [];
  while (rest.length > 0 && chosen.length < size) {
    const at = Math.floor(Math.random() * rest.length);
    chosen.push(...rest.splice(at, 1));
  }
  return chosen;
}
