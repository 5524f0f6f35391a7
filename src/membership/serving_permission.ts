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
 * Time for which callers may be served after the start of a call that
 * confirmed the configuration as the newest.
 */
const PERMISSION_DURATION_MILLISECONDS = 7_000;

/** Remaining time of the permission at or below which the fleet is probed. */
const PROBE_THRESHOLD_MILLISECONDS = 4_000;

const CHECK_INTERVAL_MILLISECONDS = 500;

const PROBE_TIMEOUT_MILLISECONDS = 1_000;

const FETCH_TIMEOUT_MILLISECONDS = 2_000;

/** Peers that are probed in addition to the voters. */
const MAXIMUM_PROBED_PEERS = 24;

export interface IServingPermissionOptions {
  readonly clock: IClock;
  readonly configuration: IConfigurationSource;
  readonly freshness: IConfigurationFreshness;
  readonly membership: IMembership;
  readonly fetcher: ConfigurationFetcher;
  readonly voters: () => readonly PeerAddress[];
  readonly events: IEventLog;
}

/** A peer and the configuration version that it has in force. */
interface IPeerVersion {
  readonly peer: PeerAddress;
  readonly version: number;
}

/**
 * Decides whether callers may be served with the configuration in force here.
 *
 * A confirmed heartbeat grants permission for a limited time. Without one, a
 * quorum of voters or half of the fleet has to answer a probe, and the newest
 * configuration among the answers is fetched. The leader accepts changes only
 * while it receives heartbeats from more than half of the fleet. These
 * instances and any half of the fleet that answers a probe have at least one
 * instance in common, from which a newer configuration is fetched.
 * An instance that reaches neither a quorum nor half of the fleet stops
 * serving before a change counts as in force everywhere. A fleet without a
 * quorum of voters continues serving, because no change can be accepted.
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
      CHECK_INTERVAL_MILLISECONDS,
    );
    this.#store.add({ dispose: () => clearInterval(timer) });
  }

  /**
   * Computed from the clock at every access, so a process that was paused
   * sees the expiry when it resumes, before any timer runs.
   */
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
    // Before the first answer of a leader, no version is known with which the
    // answers to a probe could be compared.
    if (this.#expiresAt === undefined || this.#isProbing) return;
    if (
      this.#clock.remaining(this.#expiresAt) > PROBE_THRESHOLD_MILLISECONDS
    ) return;
    this.#isProbing = true;
    const startedAt = this.#clock.monotonic();
    if (await this.#probeFleet()) this.#extend(startedAt);
    this.#isProbing = false;
  }

  /**
   * Probes voters and peers and fetches the newest configuration among them.
   * Resolves to whether a quorum or half of the fleet has no newer one.
   */
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

  /** Fetches the versions of peers; leaves out peers that do not answer. */
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

  /**
   * Fetches the newest configuration from one peer only, as the document may
   * be large.
   */
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

/** Chooses random elements without repetition. */
function sample<T>(values: readonly T[], size: number): T[] {
  const remaining = [...values];
  const chosen: T[] = [];
  while (remaining.length > 0 && chosen.length < size) {
    const at = Math.floor(Math.random() * remaining.length);
    chosen.push(...remaining.splice(at, 1));
  }
  return chosen;
}
