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
import { proposeMethod } from "./messages.ts";
import type {
  IControlClient,
  IDeadlineOptions,
  ISectionDefinition,
} from "./types.ts";

/** Pause between two rounds over the voters, in milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 50;

/** Longest wait for one voter's answer, in milliseconds. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 5_000;

/** Seconds after which callers may try again when no leader answers. */
const RETRY_AFTER_SECONDS = 2;

/** Finds the leader among the voters and remembers it. */
export class ControlClient implements IControlClient {
  #voters: () => readonly PeerAddress[];
  #rpc: IRpcClient;
  #clock: IClock;
  #leader: string | undefined;
  #next = 0;

  constructor(
    voters: () => readonly PeerAddress[],
    rpc: IRpcClient,
    options: { clock: IClock },
  ) {
    this.#voters = voters;
    this.#rpc = rpc;
    this.#clock = options.clock;
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
    let last = notRun("unavailable", "no voter is known", {
      retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
    while (!this.#clock.isPast(options.deadline)) {
      const voter = this.#choose();
      if (!voter) return err(last);
      const result = await this.#rpc.call(voter, method, params, {
        deadline: earlierDeadline(
          options.deadline,
          this.#clock.deadlineIn(ATTEMPT_TIMEOUT_MILLISECONDS),
        ),
        lane: "bulk",
      });
      if (result.isOk()) {
        this.#leader = voter.id;
        return result;
      }
      last = result.error;
      this.#forget(voter, last);
      if (!this.#mayTryAgain(last)) return result;
      await this.#pause(last, options);
    }
    return err({ ...last, retryAfterSeconds: RETRY_AFTER_SECONDS });
  }

  /** Only a call that provably did not run may go to another voter. */
  #mayTryAgain(failure: Failure): boolean {
    if (failure.verdict === "may-have-run") return false;
    return failure.code === "not-leader" || failure.code === "unavailable";
  }

  #choose(): PeerAddress | undefined {
    const voters = this.#voters();
    const leader = voters.find((voter) => voter.id === this.#leader);
    if (leader) return leader;
    this.#next += 1;
    return voters[this.#next % voters.length];
  }

  #forget(voter: PeerAddress, failure: Failure): void {
    const hint = failure.leader;
    this.#leader = hint === voter.id ? undefined : hint;
  }

  async #pause(failure: Failure, options: IDeadlineOptions): Promise<void> {
    if (failure.leader !== undefined) return;
    const pause = this.#clock.deadlineIn(RETRY_PAUSE_MILLISECONDS);
    await this.#clock.sleepUntil(earlierDeadline(pause, options.deadline));
  }
}
