import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  Emitter,
  type Failure,
  notRun,
} from "../src/common/mod.ts";
import type {
  ILeadership,
  IReplicatedLog,
  IStateSection,
  LogStatus,
} from "../src/consensus/mod.ts";

/** In-memory replicated log whose leadership is set by the test. */
export class FakeLog implements IReplicatedLog {
  readonly failure = undefined;
  leadership: ILeadership = { term: 1, leader: "voter-0", isLeader: true };
  stateConfirmedAt: Deadline | undefined = 0 as Deadline;
  leaseUntil: Deadline | undefined = Infinity as Deadline;
  transferCount = 0;
  #change = new Emitter<ILeadership>();
  readonly onLeadershipChange = this.#change.event;
  #sections: readonly IStateSection[];
  #index = 0;

  constructor(sections: readonly IStateSection[] = []) {
    this.#sections = sections;
  }

  /** Makes this replica or another one the leader of a term. */
  setLeadership(term: number, isLeader: boolean): void {
    const leader = isLeader ? "voter-0" : "voter-1";
    this.leadership = { term, leader, isLeader };
    this.leaseUntil = isLeader ? Infinity as Deadline : undefined;
    this.#change.fire(this.leadership);
  }

  propose(
    section: string,
    command: unknown,
  ): Promise<Result<unknown, Failure>> {
    if (!this.leadership.isLeader) return Promise.resolve(err(notLeader()));
    this.#index += 1;
    const context = {
      index: this.#index,
      term: this.leadership.term,
      proposedAt: Date.now(),
    };
    const state = this.#sections.find(({ definition }) =>
      definition.name === section
    );
    return Promise.resolve(ok(state?.apply(command, context)));
  }

  barrier(): Promise<Result<void, Failure>> {
    return Promise.resolve(
      this.leadership.isLeader ? ok(undefined) : err(notLeader()),
    );
  }

  status(): LogStatus {
    throw new Error("FakeLog does not implement status()");
  }

  isMember(): boolean {
    return false;
  }

  leave(): Promise<boolean> {
    return Promise.resolve(false);
  }

  transferLeadership(): Promise<boolean> {
    this.transferCount += 1;
    this.setLeadership(this.leadership.term + 1, false);
    return Promise.resolve(true);
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

function notLeader(): Failure {
  return notRun("not-leader", "this voter is not the leader", {
    leader: "voter-1",
  });
}
