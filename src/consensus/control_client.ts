import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
  earlierDeadline,
  type Failure,
  type IClock,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type { IRpcClient, IRpcMethod, PeerAddress } from "../rpc/mod.ts";
import { LeaderFinder } from "./leader_finder.ts";
import { proposeMethod } from "./messages.ts";
import type {
  IControlClient,
  IDeadlineOptions,
  ISectionDefinition,
} from "./types.ts";

/** Pause between two searches for the leader, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100;

/** Longest wait for the leader's answer, in milliseconds. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 5_000;

/** Seconds after which a call may be retried when no leader answers. */
const RETRY_AFTER_SECONDS = 2;

/** Sends calls to the leader, which it finds among the voters and caches. */
export class ControlClient implements IControlClient {
  #rpc: IRpcClient;
  #clock: IClock;
  #finder: LeaderFinder;
  #leader: PeerAddress | undefined;

  /** @param voters voters in the settings; newer ones are read from answers. */
  constructor(
    voters: () => readonly PeerAddress[],
    rpc: IRpcClient,
    options: { clock: IClock },
  ) {
    this.#rpc = rpc;
    this.#clock = options.clock;
    this.#finder = new LeaderFinder(voters, rpc, options);
  }

  /** Voters of the log, as far as they are known here. */
  get voters(): readonly PeerAddress[] {
    return this.#finder.voters;
  }

  async propose<C extends z.ZodType, O extends z.ZodType>(
    section: ISectionDefinition<C, O>,
    command: z.infer<C>,
    options: IDeadlineOptions,
  ): Promise<Result<z.infer<O>, Failure>> {
    const params = { section: section.name, command: command as unknown };
    const answer = await this.call(proposeMethod, params, options);
    if (answer.isErr()) return err(answer.error);
    const output = section.output.safeParse(answer.value.output);
    if (output.success) return ok(output.data);
    return err(mayHaveRun("internal", output.error.message));
  }

  async call<P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    params: z.infer<P>,
    options: IDeadlineOptions,
  ): Promise<Result<z.infer<R>, Failure>> {
    let last = notRun(
      "unavailable",
      "no leader of the replicated control log is known",
    );
    let hasFollowedHint = false;
    while (!this.#clock.isPast(options.deadline)) {
      this.#leader ??= await this.#finder.find(options);
      const leader = this.#leader;
      // The search may have used up the deadline; its result is kept.
      if (this.#clock.isPast(options.deadline)) break;
      if (leader) {
        const result = await this.#rpc.call(leader, method, params, {
          deadline: earlierDeadline(
            options.deadline,
            this.#clock.deadlineIn(ATTEMPT_TIMEOUT_MILLISECONDS),
          ),
          lane: "bulk",
        });
        if (result.isOk()) return result;
        last = result.error;
        this.#updateLeader(leader, last);
        if (!this.#isRetryable(last)) return result;
        hasFollowedHint = this.#leader !== undefined && !hasFollowedHint;
        if (hasFollowedHint) continue;
      }
      await this.#pause(options);
    }
    return err({ ...last, retryAfterSeconds: RETRY_AFTER_SECONDS });
  }

  /** Whether the call provably did not run, so that it may be sent again. */
  #isRetryable(failure: Failure): boolean {
    if (failure.verdict === "may-have-run") return false;
    return failure.code === "not-leader" || failure.code === "unavailable" ||
      failure.code === "storage-error";
  }

  /**
   * Removes a leader that may have lost its role from the cache, and caches the
   * one that it names, if any.
   */
  #updateLeader(asked: PeerAddress, failure: Failure): void {
    if (this.#leader !== asked) return;
    const isSilent = failure.code === "deadline-exceeded";
    const isGone = isSilent || this.#isRetryable(failure) ||
      failure.code === "unavailable";
    if (!isGone) return;
    const hint = this.#finder.voter(failure.leader);
    this.#leader = hint?.id === asked.id ? undefined : hint;
  }

  async #pause(options: IDeadlineOptions): Promise<void> {
    const pause = this.#clock.deadlineIn(RETRY_DELAY_MILLISECONDS);
    await this.#clock.sleepUntil(earlierDeadline(pause, options.deadline));
  }
}
