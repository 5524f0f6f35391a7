import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import {
  type Failure,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { IConfigurationSource } from "../configuration/mod.ts";
import type { IMembership, Member } from "../membership/mod.ts";
import type { IRpcClient, IRpcServer } from "../rpc/mod.ts";
import { LimitLender } from "./limit_lender.ts";
import { type Borrowing, borrowMethod, type Loan } from "./messages.ts";
import type { ILimitOwners } from "./types.ts";

/** Timeout of a call that borrows from the owner. */
const BORROW_TIMEOUT_MILLISECONDS = 150;

/** Maximum number of members that are asked for a loan, in turn. */
const MAXIMUM_OWNERS_TRIED = 2;

/** Maximum number of callers whose owners are cached. */
const MAXIMUM_CACHED_CALLERS = 2_000;

/** Dependencies of `LimitOwners`. */
export interface ILimitOwnersOptions {
  readonly clock: IClock;
  readonly configuration: IConfigurationSource;
  readonly membership: IMembership;
}

/**
 * Finds the instance that owns a caller's limits by rendezvous hashing over the
 * members, and borrows from it. This instance is the owner for some callers
 * and lends their limits.
 *
 * While instances disagree on the members, or when the owner does not answer
 * and the next member is asked, the lent part can be lent twice.
 */
export class LimitOwners implements ILimitOwners, IDisposable {
  #rpc: IRpcClient;
  #options: ILimitOwnersOptions;
  #lender: LimitLender;
  #handler: IDisposable;
  #members: readonly Member[] | undefined;
  #owners = new Map<string, readonly Member[]>();

  constructor(
    rpc: IRpcClient,
    server: IRpcServer,
    options: ILimitOwnersOptions,
  ) {
    this.#rpc = rpc;
    this.#options = options;
    this.#lender = new LimitLender(options.clock);
    this.#handler = server.handle(
      borrowMethod,
      (borrowing, { from }) => Promise.resolve(this.#lend(borrowing, from)),
    );
  }

  get instances(): number {
    return Math.max(1, this.#presentMembers().length);
  }

  async borrow(borrowing: Borrowing): Promise<Result<Loan, Failure>> {
    const { membership, clock } = this.#options;
    const owners = this.#ownersOf(borrowing.caller);
    if (owners.length === 0) return this.#lend(borrowing, membership.self.id);
    let last: Result<Loan, Failure> | undefined;
    for (const owner of owners) {
      if (owner.id === membership.self.id) {
        return this.#lend(borrowing, owner.id);
      }
      last = await this.#rpc.call(owner, borrowMethod, borrowing, {
        deadline: clock.deadlineIn(BORROW_TIMEOUT_MILLISECONDS),
      });
      if (last.isOk()) return last;
    }
    return last ??
      err(
        notRun(
          "unavailable",
          "no member of the fleet lends the caller's limits",
        ),
      );
  }

  dispose(): void {
    this.#handler.dispose();
  }

  #lend(borrowing: Borrowing, borrower: string): Result<Loan, Failure> {
    const caller = this.#options.configuration.current
      ?.callerByName(borrowing.caller);
    if (caller) return ok(this.#lender.lend(caller, borrower, borrowing));
    return err(
      notRun("not-found", `caller ${borrowing.caller} is not configured`),
    );
  }

  #presentMembers(): readonly Member[] {
    const { members } = this.#options.membership;
    if (this.#members !== members) this.#owners.clear();
    this.#members = members;
    return members.filter(({ health }) => health !== "lost");
  }

  #ownersOf(caller: string): readonly Member[] {
    const present = this.#presentMembers();
    const known = this.#owners.get(caller);
    if (known) return known;
    if (this.#owners.size >= MAXIMUM_CACHED_CALLERS) this.#owners.clear();
    const owners = present
      .map((member) => ({ member, weight: weightOf(caller, member.id) }))
      .sort((first, second) => first.weight < second.weight ? 1 : -1)
      .slice(0, MAXIMUM_OWNERS_TRIED)
      .map(({ member }) => member);
    this.#owners.set(caller, owners);
    return owners;
  }
}

function weightOf(caller: string, instance: string): string {
  return createHash("sha256").update(`${caller}\n${instance}`).digest("hex");
}
