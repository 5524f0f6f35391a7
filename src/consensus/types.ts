import type { Result } from "neverthrow";
import { z } from "zod";
import type { Deadline, Failure, IEvent } from "../common/mod.ts";
import {
  type IRpcMethod,
  type PeerAddress,
  peerAddressSchema,
} from "../rpc/mod.ts";
import type { ReplicaMember } from "./replica_set.ts";

/** Name and schemas of one section of the replicated state. */
export interface ISectionDefinition<
  C extends z.ZodType = z.ZodType,
  O extends z.ZodType = z.ZodType,
> {
  /** Stable name; stored with every command of the section. */
  readonly name: string;
  readonly command: C;
  readonly output: O;
}

/** Position and time of the command that is being applied. */
export interface IApplyContext {
  readonly index: number;
  readonly term: number;
  /**
   * Time of the proposal by the leader's wall clock, in milliseconds since
   * the Unix epoch. Never decreases from one command to the next.
   */
  readonly proposedAt: number;
}

/** Append-only file of a section that belongs to a snapshot. */
export const sectionFileSchema = z.object({
  /** Path below the section's folder. */
  name: z.string(),
  /** Length in bytes that the snapshot covers. */
  length: z.number(),
});
export type SectionFile = z.infer<typeof sectionFileSchema>;

/** State of a section at one index of the log. */
export const sectionSnapshotSchema = z.object({
  state: z.unknown(),
  files: z.array(sectionFileSchema),
});
export type SectionSnapshot = z.infer<typeof sectionSnapshotSchema>;

/**
 * Deterministic part of the replicated state; each feature has its own.
 *
 * Every voter applies the same commands in the same order, so `apply` uses
 * neither clocks nor random numbers nor anything outside its section.
 */
export interface IStateSection<
  C extends z.ZodType = z.ZodType,
  O extends z.ZodType = z.ZodType,
> {
  readonly definition: ISectionDefinition<C, O>;
  /**
   * Changes the state and returns the output for the proposer. After a
   * restart, commands since the last snapshot are applied again; before that,
   * the section's files are truncated to the lengths in that snapshot.
   */
  apply(command: z.infer<C>, context: IApplyContext): z.infer<O>;
  /** Captures the state; files must be synced up to the lengths returned. */
  snapshot(): Promise<SectionSnapshot>;
  /** Replaces the state; the files are in place, truncated to their lengths. */
  restore(snapshot: SectionSnapshot): Promise<void>;
  /**
   * Like `restore`, for a state that was captured as an array. The elements are
   * decoded one at a time, so that they need not all fit into memory.
   */
  restoreElements?(
    elements: Iterable<unknown>,
    files: readonly SectionFile[],
  ): Promise<void>;
  /** Resets to the empty state, for a replica that has no snapshot yet. */
  reset(): Promise<void>;
}

/** Leader of the log, as far as this instance knows. */
export interface ILeadership {
  readonly term: number;
  readonly leader: string | undefined;
  readonly isLeader: boolean;
}

/** Member of the log, for operators. */
export const memberStatusSchema = peerAddressSchema.extend({
  failureDomain: z.string().optional(),
  /** Identity of the data folder. */
  storage: z.string().optional(),
});

/** State of a replica, for operators and metrics. */
export const logStatusSchema = z.object({
  id: z.string(),
  role: z.enum(["leader", "follower", "candidate", "learner", "stopped"]),
  term: z.number(),
  leader: z.string().optional(),
  firstIndex: z.number(),
  lastIndex: z.number(),
  commitIndex: z.number(),
  appliedIndex: z.number(),
  voters: z.array(memberStatusSchema),
  learners: z.array(memberStatusSchema),
});
export type LogStatus = z.infer<typeof logStatusSchema>;

/** Options of operations that wait. */
export interface IDeadlineOptions {
  readonly deadline: Deadline;
}

/** Options of a barrier. */
export interface IBarrierOptions extends IDeadlineOptions {
  /**
   * Whether a quorum must confirm the leader even while it holds a lease. A
   * machine that was suspended does not notice that its lease has expired,
   * because its monotonic clock stops during the suspension.
   */
  readonly requiresQuorum?: boolean;
}

/** Appends a command of one section; resolves with its output. */
export type AppendCommand = (
  command: unknown,
  options: IDeadlineOptions,
) => Promise<Result<unknown, Failure>>;

/** Decides when the leader appends the commands of a section. */
export interface IProposalScheduler {
  /** Resolves with the output of the command. */
  propose(
    command: unknown,
    options: IDeadlineOptions,
  ): Promise<Result<unknown, Failure>>;
}

/** Settings by which the leader replaces voters automatically. */
export interface IVoterPolicy {
  /** Number of voters to maintain, if there are enough members. */
  readonly targetVoters: number;
  /**
   * Instances, besides the founders, to which the leader announces itself.
   * Some of them may be known only from their own reports.
   */
  announcementRecipients?(): readonly PeerAddress[];
  /** Whether an instance is being retired and must leave the log. */
  isRetiring(id: string): boolean;
}

/** Replica of the durable log, on instances with a data folder. */
export interface IReplicatedLog {
  /** Commits and applies a command; fails if this replica does not lead. */
  propose(
    section: string,
    command: unknown,
    options: IDeadlineOptions,
  ): Promise<Result<unknown, Failure>>;
  /**
   * Resolves when the applied state includes everything that any replica had
   * acknowledged before the call; fails if this replica does not lead.
   */
  barrier(options: IBarrierOptions): Promise<Result<void, Failure>>;
  readonly leadership: ILeadership;
  readonly onLeadershipChange: IEvent<ILeadership>;
  /**
   * Time as of which the applied state includes everything that any replica has
   * committed: a quorum followed this leader then, and it has applied what was
   * committed. Undefined unless this replica leads.
   */
  readonly stateConfirmedAt: Deadline | undefined;
  /**
   * End of the leader's lease, reduced by the bound on clock drift; until then
   * no other replica can lead. Undefined unless this replica leads. Effects
   * outside the log, such as orders to engines, must begin before it.
   */
  readonly leaseUntil: Deadline | undefined;
  status(): LogStatus;
  /**
   * Whether an instance is a member of the log, or its removal is not committed
   * yet. A leader that is lost can leave such a removal without effect.
   */
  isMember(id: string): boolean;
  /**
   * Why this replica has stopped for good; undefined while it runs or waits for
   * its disk to work again.
   */
  readonly failure: string | undefined;
  /** Transfers leadership to a voter that has caught up, if there is one. */
  transferLeadership(options: IDeadlineOptions): Promise<boolean>;
  /**
   * Asks the leader to let a learner vote in place of this replica, whose
   * process is about to end. Until then, this replica takes part as before.
   * Resolves with whether it was replaced; at once if there is no leader or
   * none that replaces voters.
   */
  leave(options: IDeadlineOptions): Promise<boolean>;
  /** Stops after the writes in progress are durable. */
  stop(): Promise<void>;
}

/** Sends the leader's snapshot to a peer that lacks compacted entries. */
export interface ISnapshotSender {
  /**
   * Sends the latest snapshot. Resolves with its index, or undefined when it
   * could not be sent.
   */
  send(
    peer: ReplicaMember,
    signal: AbortSignal,
  ): Promise<number | undefined>;
}

/** Access to the log's leader from any instance. */
export interface IControlClient {
  /** Proposes a command at the leader, wherever it is. */
  propose<C extends z.ZodType, O extends z.ZodType>(
    section: ISectionDefinition<C, O>,
    command: z.infer<C>,
    options: IDeadlineOptions,
  ): Promise<Result<z.infer<O>, Failure>>;
  /**
   * Calls a method at the leader. Retries it, also at another voter, only
   * while failures have the verdict `not-run`.
   */
  call<P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    params: z.infer<P>,
    options: IDeadlineOptions,
  ): Promise<Result<z.infer<R>, Failure>>;
}
