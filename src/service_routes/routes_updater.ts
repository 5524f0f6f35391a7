import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  type Failure,
  type IClock,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { IProposalScheduler } from "../consensus/mod.ts";
import type { RoutesCommand, RoutesOutput } from "./messages.ts";
import type { RoutesSection } from "./routes_section.ts";

/** Limits of one update. */
export interface IUpdateOptions {
  readonly deadline: Deadline;
  /** Is aborted when the sender no longer waits. */
  readonly signal?: AbortSignal;
}

/** Commits an update; resolves with the output of the routes section. */
export type CommitRoutes = (
  command: RoutesCommand,
  options: { deadline: Deadline },
) => Promise<Result<RoutesOutput, Failure>>;

interface IWaiter {
  readonly version: number;
  readonly deadline: Deadline;
  /** Whether a failed commit may still put the version in force. */
  isInDoubt: boolean;
  readonly settle: (result: Result<RoutesOutput, Failure>) => void;
}

/**
 * Commits updates of the routes one at a time.
 *
 * While one is being committed, only the newest of those that arrive is kept:
 * once it is in force, the older ones change nothing any more and count as
 * accepted. An update whose senders have all left is dropped.
 */
export class RoutesUpdater implements IProposalScheduler, IDisposable {
  #section: Pick<RoutesSection, "current">;
  #commit: CommitRoutes;
  #clock: IClock;
  #subscription: IDisposable;
  #committing: RoutesCommand | undefined;
  #next: RoutesCommand | undefined;
  #waiters = new Set<IWaiter>();

  /** @param section replicated routes, as far as this instance knows them. */
  constructor(
    section: Pick<RoutesSection, "current" | "onAccepted">,
    commit: CommitRoutes,
    options: { clock: IClock },
  ) {
    this.#section = section;
    this.#commit = commit;
    this.#clock = options.clock;
    this.#subscription = section.onAccepted(() => this.#recordInForce());
  }

  /** Resolves when the update or a newer one is in force. */
  propose(
    command: RoutesCommand,
    { deadline, signal }: IUpdateOptions,
  ): Promise<Result<RoutesOutput, Failure>> {
    const { version } = command.routes;
    if (version <= this.#versionInForce) {
      return Promise.resolve(ok({ version: this.#versionInForce }));
    }
    if (signal?.aborted) return Promise.resolve(err(senderLeft()));
    return new Promise((resolve) => {
      const ended = new AbortController();
      const leave = () => {
        waiter.settle(err(senderLeft()));
        if (!this.#isWanted()) this.#next = undefined;
      };
      const waiter: IWaiter = {
        ...{ version, deadline, isInDoubt: false },
        settle: (result) => {
          this.#waiters.delete(waiter);
          signal?.removeEventListener("abort", leave);
          ended.abort();
          resolve(result);
        },
      };
      this.#waiters.add(waiter);
      signal?.addEventListener("abort", leave, { once: true });
      void this.#clock.sleepUntil(deadline, ended.signal).then(() => {
        if (!this.#waiters.has(waiter)) return;
        const reason = "the routes were not committed in time";
        waiter.settle(
          this.#failed(waiter, notRun("deadline-exceeded", reason)),
        );
        if (!this.#isWanted()) this.#next = undefined;
      });
      this.#enqueue(command);
    });
  }

  dispose(): void {
    this.#subscription.dispose();
    this.#next = undefined;
    for (const waiter of [...this.#waiters]) {
      const failure = notRun("unavailable", "the instance stops");
      waiter.settle(this.#failed(waiter, failure));
    }
  }

  get #versionInForce(): number {
    return this.#section.current?.version ?? 0;
  }

  /** Whether somebody waits for more than the update that is committed now. */
  #isWanted(): boolean {
    const committing = this.#committing?.routes.version ?? 0;
    return [...this.#waiters].some(({ version }) => version > committing);
  }

  #enqueue(command: RoutesCommand): void {
    const newest = this.#next ?? this.#committing;
    const { version } = command.routes;
    if (version > (newest?.routes.version ?? 0)) this.#next = command;
    if (!this.#committing) void this.#commitNext();
  }

  async #commitNext(): Promise<void> {
    const command = this.#next;
    if (!command) return;
    this.#next = undefined;
    this.#committing = command;
    const { version } = command.routes;
    const deadlines = [...this.#waiters].map(({ deadline }) => deadline);
    const deadline = Math.max(...deadlines) as Deadline;
    const result = await this.#commit(command, { deadline });
    // Another instance may have put the same or newer routes in force.
    if (this.#committing !== command) return;
    this.#committing = undefined;
    if (result.isOk()) this.#accept(Math.max(version, result.value.version));
    else this.#handleFailure(version, result.error);
    if (!this.#committing) await this.#commitNext();
  }

  #handleFailure(version: number, failure: Failure): void {
    const isInDoubt = failure.verdict === "may-have-run";
    for (const waiter of [...this.#waiters]) {
      if (waiter.version === version) waiter.isInDoubt ||= isInDoubt;
      // The next update would accept the older ones as well.
      if (this.#next) continue;
      waiter.settle(this.#failed(waiter, { ...failure, verdict: "not-run" }));
    }
  }

  /** Accepts all updates up to a version that is in force. */
  #accept(version: number): void {
    for (const waiter of [...this.#waiters]) {
      if (waiter.version <= version) waiter.settle(ok({ version }));
    }
    if ((this.#next?.routes.version ?? 0) <= version) this.#next = undefined;
  }

  #recordInForce(): void {
    const version = this.#versionInForce;
    this.#accept(version);
    if ((this.#committing?.routes.version ?? Infinity) > version) return;
    this.#committing = undefined;
    void this.#commitNext();
  }

  /** The failure of a waiter, whose own update may still come into force. */
  #failed(waiter: IWaiter, failure: Failure): Result<never, Failure> {
    const isCommitting = this.#committing?.routes.version === waiter.version;
    return err(
      isCommitting || waiter.isInDoubt
        ? { ...failure, verdict: "may-have-run" }
        : failure,
    );
  }
}

function senderLeft(): Failure {
  return notRun("cancelled", "the sender has left");
}
