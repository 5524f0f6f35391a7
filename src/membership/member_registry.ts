import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
  type Deadline,
  DisposableStore,
  type Failure,
  type IClock,
  type IDisposable,
  MessageOrder,
} from "../common/mod.ts";
import type { ConfigurationSection } from "../configuration/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { leavingTargetDoubted, memberHealthChanged } from "./events.ts";
import { LeavingTargetTracker } from "./leaving_target_tracker.ts";
import { MemberList } from "./member_list.ts";
import { heartbeatMethod, type Instance, type Member } from "./messages.ts";
import { SharedBarrier } from "./shared_barrier.ts";

/** Maximum time for which an answer without an update is held. */
const LONG_POLL_MILLISECONDS = 1_000;

/** Time without a heartbeat after which an instance is suspect. */
const SUSPECT_AFTER_MILLISECONDS = 3_000;

/** Time without a heartbeat after which an instance is lost. */
const LOST_AFTER_MILLISECONDS = 10_000;

/** Time without a heartbeat after which a lost instance is removed. */
const REMOVE_AFTER_MILLISECONDS = 600_000;

const REVIEW_INTERVAL_MILLISECONDS = 500;

/** Lateness of a review that shows that this process was paused. */
const PAUSE_DETECTION_MILLISECONDS = 1_000;

/**
 * Reporter of the leaving targets that are taken over from the previous
 * leader, until every live instance has had time to report its own.
 */
const PREVIOUS_LEADER_ID = "(previous leader)";

type HeartbeatParams = z.infer<typeof heartbeatMethod.params>;
type HeartbeatResult = z.infer<typeof heartbeatMethod.result>;

/** State of the fleet that a new leader starts its term with. */
export interface IFleetSnapshot {
  readonly members: readonly Member[];
  readonly leavingTargets: ReadonlySet<string>;
}

export interface IMemberRegistryOptions {
  readonly clock: IClock;
  readonly server: IRpcServer;
  readonly events: IEventLog;
  /** State of the fleet as last received from the previous leader. */
  readonly fleetSnapshot: () => IFleetSnapshot;
}

interface IMemberRecord {
  instance: Instance;
  lastHeartbeatAt: Deadline;
}

/** Maintains the member list on the log's leader from heartbeats. */
export class MemberRegistry implements IDisposable {
  #log: IReplicatedLog;
  #configuration: ConfigurationSection;
  #clock: IClock;
  #events: IEventLog;
  #fleetSnapshot: () => IFleetSnapshot;
  #barrier: SharedBarrier;
  #records = new Map<string, IMemberRecord>();
  #order = new MessageOrder();
  #list = new MemberList();
  #leavingTargets: LeavingTargetTracker;
  #epoch: string = randomUUID();
  #wake = createWakeController();
  #reviewedAt: Deadline;
  #termStartedAt: Deadline;
  #store = new DisposableStore();

  constructor(
    log: IReplicatedLog,
    configuration: ConfigurationSection,
    options: IMemberRegistryOptions,
  ) {
    this.#log = log;
    this.#configuration = configuration;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#fleetSnapshot = options.fleetSnapshot;
    this.#barrier = new SharedBarrier(log, options.clock);
    this.#leavingTargets = new LeavingTargetTracker(options.clock);
    this.#reviewedAt = options.clock.monotonic();
    this.#termStartedAt = this.#reviewedAt;
    this.#store.add(options.server.handle(
      heartbeatMethod,
      (params, context) => this.#handleHeartbeat(params, context.deadline),
    ));
    this.#store.add(log.onLeadershipChange(() => this.#startTerm()));
    this.#store.add(configuration.onAccepted(() => this.#wakeLongPolls()));
    const timer = setInterval(
      () => this.#review(),
      REVIEW_INTERVAL_MILLISECONDS,
    );
    this.#store.add({ dispose: () => clearInterval(timer) });
  }

  /** All known instances with their health. */
  get members(): readonly Member[] {
    return this.#list.members;
  }

  /**
   * Whether more than half of the known instances are live. Instances in the
   * state `leaving` do not count.
   */
  get hasLiveMajority(): boolean {
    const known = this.members.filter(({ state }) => state !== "leaving");
    const live = known.filter(({ health }) => health === "live");
    return live.length * 2 > known.length;
  }

  /** Seconds since the latest heartbeat; infinite for unknown instances. */
  secondsSinceHeartbeat(id: string): number {
    const record = this.#records.get(id);
    if (!record) return Infinity;
    return (this.#clock.monotonic() - record.lastHeartbeatAt) / 1_000;
  }

  dispose(): void {
    this.#store.dispose();
    this.#wakeLongPolls();
  }

  /**
   * Resets the state for a new epoch. A new leader starts with the fleet
   * snapshot of this instance; its members are suspect until their first
   * heartbeat.
   */
  #startTerm(): void {
    this.#epoch = randomUUID();
    this.#termStartedAt = this.#clock.monotonic();
    this.#records.clear();
    this.#list.clear();
    this.#leavingTargets.clear();
    if (this.#log.leadership.isLeader) {
      const { members, leavingTargets } = this.#fleetSnapshot();
      for (const { health: _, ...instance } of members) {
        this.#records.set(instance.id, {
          instance,
          lastHeartbeatAt: this.#termStartedAt,
        });
        this.#list.put({ ...instance, health: "suspect" });
      }
      this.#leavingTargets.recordReport(PREVIOUS_LEADER_ID, {
        leaving: [...leavingTargets],
      });
    }
    this.#wakeLongPolls();
  }

  async #handleHeartbeat(
    params: HeartbeatParams,
    deadline: Deadline,
  ): Promise<Result<HeartbeatResult, Failure>> {
    if (this.#log.leadership.isLeader) {
      const isChanged = this.#recordHeartbeat(params);
      if (!isChanged) await this.#waitForUpdate(params, deadline);
    }
    const barrier = await this.#barrier.wait();
    if (barrier.isErr()) return err(barrier.error);
    return ok(this.#createResult(params));
  }

  #createResult(params: HeartbeatParams): HeartbeatResult {
    const { revision } = params;
    const isKnown = revision.epoch === this.#epoch;
    const leavingRevision = isKnown ? revision.leavingTargets : 0;
    return {
      configurationVersion: this.#configuration.current?.version ?? 0,
      revision: {
        epoch: this.#epoch,
        members: this.#list.revision,
        leavingTargets: this.#leavingTargets.revision,
      },
      members: this.#list.changesSince(isKnown ? revision.members : 0),
      leavingTargets: leavingRevision === this.#leavingTargets.revision
        ? undefined
        : [...this.#leavingTargets.targets],
    };
  }

  /**
   * Long poll: waits until there is an update for the instance, so that
   * updates arrive without extra calls.
   */
  async #waitForUpdate(
    params: HeartbeatParams,
    deadline: Deadline,
  ): Promise<void> {
    const half = this.#clock.remaining(deadline) / 2;
    const until = this.#clock.deadlineIn(
      Math.min(LONG_POLL_MILLISECONDS, half),
    );
    while (!this.#hasUpdate(params) && !this.#clock.isPast(until)) {
      await this.#clock.sleepUntil(until, this.#wake.signal);
    }
  }

  #hasUpdate(params: HeartbeatParams): boolean {
    const { revision, instance } = params;
    const version = this.#configuration.current?.version ?? 0;
    return revision.epoch !== this.#epoch ||
      revision.leavingTargets !== this.#leavingTargets.revision ||
      instance.configurationVersion < version;
  }

  #wakeLongPolls(): void {
    this.#wake.abort();
    this.#wake = createWakeController();
  }

  /** Records a heartbeat; returns whether the state of the instance changed. */
  #recordHeartbeat(params: HeartbeatParams): boolean {
    const { instance, platform, sequence } = params;
    const { id, incarnation: process } = instance;
    const isLatest = sequence === undefined ||
      this.#order.record(id, { process, sequence });
    if (!isLatest) return false;
    const lastHeartbeatAt = this.#clock.monotonic();
    const earlier = this.#records.get(instance.id)?.instance;
    this.#records.set(instance.id, { instance, lastHeartbeatAt });
    this.#put(instance, "live");
    const before = this.#leavingTargets.revision;
    this.#leavingTargets.recordReport(instance.id, platform);
    if (this.#leavingTargets.revision !== before) this.#wakeLongPolls();
    return earlier?.state !== instance.state;
  }

  #put(instance: Instance, health: Member["health"]): void {
    this.#list.put({ ...instance, health });
  }

  #review(): void {
    const now = this.#clock.monotonic();
    this.#compensateForPause(now);
    for (const [id, { instance, lastHeartbeatAt }] of this.#records) {
      const elapsed = now - lastHeartbeatAt;
      // Instances that are partitioned from the leader may make up half of
      // the fleet and continue serving. They are kept, and so count towards
      // the majority, until a majority of all instances is live again.
      const isExpired = elapsed > REMOVE_AFTER_MILLISECONDS &&
        this.hasLiveMajority;
      if (isExpired) this.#removeMember(id);
      else this.#changeHealth(instance, healthAfter(elapsed));
    }
    if (now - this.#termStartedAt > LOST_AFTER_MILLISECONDS) {
      this.#leavingTargets.forget(PREVIOUS_LEADER_ID);
    }
    const before = this.#leavingTargets.revision;
    for (
      const { target, reporters } of this.#leavingTargets
        .excludeDoubtedTargets()
    ) {
      this.#events.emit(leavingTargetDoubted, { target, reporters });
    }
    if (this.#leavingTargets.revision !== before) this.#wakeLongPolls();
  }

  /**
   * Excludes the time in which this process was paused from the time since
   * the heartbeats, as it could not receive any.
   */
  #compensateForPause(now: Deadline): void {
    const delay = now - this.#reviewedAt - REVIEW_INTERVAL_MILLISECONDS;
    this.#reviewedAt = now;
    if (delay < PAUSE_DETECTION_MILLISECONDS) return;
    for (const record of this.#records.values()) {
      record.lastHeartbeatAt = (record.lastHeartbeatAt + delay) as Deadline;
    }
  }

  #changeHealth(instance: Instance, health: Member["health"]): void {
    const before = this.#list.healthOf(instance.id);
    if (before === health) return;
    // Only a heartbeat makes a suspect member live, also one that was taken
    // over from the previous leader.
    if (before === "suspect" && health === "live") return;
    this.#put(instance, health);
    this.#events.emit(memberHealthChanged, { member: instance.id, health });
  }

  #removeMember(id: string): void {
    this.#records.delete(id);
    this.#list.remove(id);
    this.#leavingTargets.forget(id);
  }
}

/** Sets no limit of listeners, as every instance may have a call waiting. */
function createWakeController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

function healthAfter(elapsed: number): Member["health"] {
  if (elapsed > LOST_AFTER_MILLISECONDS) return "lost";
  if (elapsed > SUSPECT_AFTER_MILLISECONDS) return "suspect";
  return "live";
}
