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
} from "../common/mod.ts";
import type { ConfigurationSection } from "../configuration/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { leavingTargetDoubted, memberHealthChanged } from "./events.ts";
import { LeavingTargets } from "./leaving_targets.ts";
import { MemberList } from "./member_list.ts";
import { heartbeatMethod, type Instance, type Member } from "./messages.ts";
import { SharedBarrier } from "./shared_barrier.ts";

/** Longest time that an answer without news is held, in milliseconds. */
const HOLD_MILLISECONDS = 1_000;

/** Silence after which an instance is suspected, in milliseconds. */
const SUSPECT_AFTER_MILLISECONDS = 3_000;

/** Silence after which an instance counts as lost, in milliseconds. */
const LOST_AFTER_MILLISECONDS = 10_000;

/** Silence after which a lost instance is forgotten, in milliseconds. */
const FORGET_AFTER_MILLISECONDS = 600_000;

/** How often the health of members is reviewed, in milliseconds. */
const REVIEW_INTERVAL_MILLISECONDS = 500;

/** Delay of a review that shows that this process was stopped. */
const STOPPED_AFTER_MILLISECONDS = 1_000;

/** Name under which the list of the previous leader is kept for a while. */
const PREVIOUS_LEADER = "(previous leader)";

type Heartbeat = z.infer<typeof heartbeatMethod.params>;
type HeartbeatAnswer = z.infer<typeof heartbeatMethod.result>;

/** What a new leader takes over from its own copy of the fleet's state. */
export interface IFleetCopy {
  readonly members: readonly Member[];
  readonly leavingTargets: ReadonlySet<string>;
}

/** Collaborators of the registry. */
export interface IMemberRegistryOptions {
  readonly clock: IClock;
  readonly server: IRpcServer;
  readonly events: IEventLog;
  /** State of the fleet as this instance learnt it from earlier leaders. */
  readonly copy: () => IFleetCopy;
}

interface IRecord {
  instance: Instance;
  heardAt: Deadline;
}

/** Member list on the log's leader, made of heartbeats. */
export class MemberRegistry implements IDisposable {
  #log: IReplicatedLog;
  #configuration: ConfigurationSection;
  #clock: IClock;
  #events: IEventLog;
  #copy: () => IFleetCopy;
  #barrier: SharedBarrier;
  #records = new Map<string, IRecord>();
  #list = new MemberList();
  #leaving: LeavingTargets;
  #epoch: string = randomUUID();
  #wake = wakeController();
  #reviewedAt: Deadline;
  #beganAt: Deadline;
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
    this.#copy = options.copy;
    this.#barrier = new SharedBarrier(log, options.clock);
    this.#leaving = new LeavingTargets(options.clock);
    this.#reviewedAt = options.clock.monotonic();
    this.#beganAt = this.#reviewedAt;
    this.#store.add(options.server.handle(
      heartbeatMethod,
      (params, context) => this.#answer(params, context.deadline),
    ));
    this.#store.add(log.onLeadershipChange(() => this.#begin()));
    this.#store.add(configuration.onAccepted(() => this.#news()));
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
   * Whether more than half of the known instances were heard recently.
   * Instances that said that they are leaving do not count.
   */
  get hearsMajority(): boolean {
    const known = this.members.filter(({ state }) => state !== "leaving");
    const live = known.filter(({ health }) => health === "live");
    return live.length * 2 > known.length;
  }

  /** Seconds since an instance was heard. */
  silenceOf(id: string): number {
    const record = this.#records.get(id);
    if (!record) return Infinity;
    return (this.#clock.monotonic() - record.heardAt) / 1_000;
  }

  dispose(): void {
    this.#store.dispose();
    this.#news();
  }

  /** Takes over what this instance knows when it becomes the leader. */
  #begin(): void {
    this.#epoch = randomUUID();
    this.#beganAt = this.#clock.monotonic();
    this.#records.clear();
    this.#list.clear();
    this.#leaving.clear();
    if (this.#log.leadership.isLeader) {
      const { members, leavingTargets } = this.#copy();
      for (const { health: _, ...instance } of members) {
        this.#records.set(instance.id, { instance, heardAt: this.#beganAt });
        this.#list.put({ ...instance, health: "suspect" });
      }
      this.#leaving.hear(PREVIOUS_LEADER, { leaving: [...leavingTargets] });
    }
    this.#news();
  }

  async #answer(
    params: Heartbeat,
    deadline: Deadline,
  ): Promise<Result<HeartbeatAnswer, Failure>> {
    if (this.#log.leadership.isLeader) {
      const isChanged = this.#hear(params);
      if (!isChanged) await this.#hold(params, deadline);
    }
    const barrier = await this.#barrier.pass();
    if (barrier.isErr()) return err(barrier.error);
    return ok(this.#answerTo(params));
  }

  #answerTo(params: Heartbeat): HeartbeatAnswer {
    const { revision } = params;
    const isKnown = revision.epoch === this.#epoch;
    const leavingRevision = isKnown ? revision.leavingTargets : 0;
    return {
      configurationVersion: this.#configuration.current?.version ?? 0,
      revision: {
        epoch: this.#epoch,
        members: this.#list.revision,
        leavingTargets: this.#leaving.revision,
      },
      members: this.#list.changesSince(isKnown ? revision.members : 0),
      leavingTargets: leavingRevision === this.#leaving.revision
        ? undefined
        : [...this.#leaving.targets],
    };
  }

  /** Waits for news of the instance, so that news needs no extra calls. */
  async #hold(params: Heartbeat, deadline: Deadline): Promise<void> {
    const half = this.#clock.remaining(deadline) / 2;
    const until = this.#clock.deadlineIn(Math.min(HOLD_MILLISECONDS, half));
    while (!this.#hasNews(params) && !this.#clock.isPast(until)) {
      await this.#clock.sleepUntil(until, this.#wake.signal);
    }
  }

  #hasNews(params: Heartbeat): boolean {
    const { revision, instance } = params;
    const version = this.#configuration.current?.version ?? 0;
    return revision.epoch !== this.#epoch ||
      revision.leavingTargets !== this.#leaving.revision ||
      instance.configurationVersion < version;
  }

  #news(): void {
    this.#wake.abort();
    this.#wake = wakeController();
  }

  /** Takes in a heartbeat; returns whether the instance changed its state. */
  #hear(params: Heartbeat): boolean {
    const { instance, platform } = params;
    const heardAt = this.#clock.monotonic();
    const earlier = this.#records.get(instance.id)?.instance;
    this.#records.set(instance.id, { instance, heardAt });
    this.#put(instance, "live");
    const before = this.#leaving.revision;
    this.#leaving.hear(instance.id, platform);
    if (this.#leaving.revision !== before) this.#news();
    return earlier?.state !== instance.state;
  }

  #put(instance: Instance, health: Member["health"]): void {
    this.#list.put({ ...instance, health });
  }

  #review(): void {
    const now = this.#clock.monotonic();
    this.#forgiveOwnStop(now);
    for (const [id, { instance, heardAt }] of this.#records) {
      const silence = now - heardAt;
      // Those that are cut off may together be half of the fleet and serve
      // on, so they count until a majority of all is heard again.
      const isForgotten = silence > FORGET_AFTER_MILLISECONDS &&
        this.hearsMajority;
      if (isForgotten) this.#forget(id);
      else this.#changeHealth(instance, healthAfter(silence));
    }
    if (now - this.#beganAt > LOST_AFTER_MILLISECONDS) {
      this.#leaving.forget(PREVIOUS_LEADER);
    }
    const before = this.#leaving.revision;
    for (const { target, reporters } of this.#leaving.doubt()) {
      this.#events.emit(leavingTargetDoubted, { target, reporters });
    }
    if (this.#leaving.revision !== before) this.#news();
  }

  /** Time in which this process did not run tells nothing of the others. */
  #forgiveOwnStop(now: Deadline): void {
    const late = now - this.#reviewedAt - REVIEW_INTERVAL_MILLISECONDS;
    this.#reviewedAt = now;
    if (late < STOPPED_AFTER_MILLISECONDS) return;
    for (const record of this.#records.values()) {
      record.heardAt = (record.heardAt + late) as Deadline;
    }
  }

  #changeHealth(instance: Instance, health: Member["health"]): void {
    const before = this.#list.healthOf(instance.id);
    if (before === health) return;
    // A seeded member stays suspect until it is heard.
    if (before === "suspect" && health === "live") return;
    this.#put(instance, health);
    this.#events.emit(memberHealthChanged, { member: instance.id, health });
  }

  #forget(id: string): void {
    this.#records.delete(id);
    this.#list.remove(id);
    this.#leaving.forget(id);
  }
}

/** Wakes as many held answers as there are instances. */
function wakeController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
}

function healthAfter(silence: number): Member["health"] {
  if (silence > LOST_AFTER_MILLISECONDS) return "lost";
  if (silence > SUSPECT_AFTER_MILLISECONDS) return "suspect";
  return "live";
}
