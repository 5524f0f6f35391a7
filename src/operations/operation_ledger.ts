import { err, ok, type Result } from "neverthrow";
import { match, P } from "ts-pattern";
import {
  type Deadline,
  earlierDeadline,
  type Failure,
  type IClock,
  type IDisposable,
  mayHaveRun,
  notRun,
} from "../common/mod.ts";
import type { IControlClient, IDeadlineOptions } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { operationsFull, operationUnrecorded } from "./events.ts";
import {
  type OperationsCommand,
  type OperationsOutput,
  operationsSection,
} from "./messages.ts";
import { AvailabilityMonitor } from "./availability_monitor.ts";
import type {
  BeginOutcome,
  IOperation,
  IOperationAnswer,
  IOperationLedger,
} from "./types.ts";

/** Pause before a command with unknown outcome is resent, in milliseconds. */
const RESEND_DELAY_MILLISECONDS = 50;

/** Timeout of one send of a command, in milliseconds. */
const SEND_TIMEOUT_MILLISECONDS = 1_500;

/** Retry delay for requests refused at the limit of records, in seconds. */
const FULL_RETRY_AFTER_SECONDS = 60;

/** Accesses the operation records through the leader of the replicated log. */
export class OperationLedger implements IOperationLedger, IDisposable {
  #control: IControlClient;
  #clock: IClock;
  #events: IEventLog;
  #monitor: AvailabilityMonitor;

  constructor(
    control: IControlClient,
    options: { clock: IClock; events: IEventLog },
  ) {
    this.#control = control;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#monitor = new AvailabilityMonitor({ control, ...options });
  }

  dispose(): void {
    this.#monitor.dispose();
  }

  async begin(
    operation: IOperation,
    options: IDeadlineOptions & { fingerprint: string },
  ): Promise<Result<BeginOutcome, Failure>> {
    const { caller, key, attempt } = operation;
    const { fingerprint } = options;
    if (this.#monitor.isUnavailable) return err(this.#monitor.outageFailure());
    const output = await this.#propose(
      { kind: "begin", caller, key, attempt, fingerprint },
      () => this.#beginDeadline(options.deadline),
    );
    const { unavailableAt } = this.#monitor;
    // `#propose` gives up shortly before `unavailableAt`, when
    // `isUnavailable` is still false.
    const isOutage = unavailableAt !== undefined &&
      unavailableAt < options.deadline;
    if (output.isErr() && isOutage) {
      const { verdict } = output.error;
      return err({ ...this.#monitor.outageFailure(), verdict });
    }
    return output.andThen((output) => this.#toBeginOutcome(operation, output));
  }

  async complete(
    operation: IOperation,
    answer: IOperationAnswer | undefined,
    options: IDeadlineOptions,
  ): Promise<Result<void, Failure>> {
    const { caller, key, attempt } = operation;
    return await this.#record(
      { kind: "complete", caller, key, attempt, answer },
      options,
    );
  }

  async abandon(
    operation: IOperation,
    options: IDeadlineOptions,
  ): Promise<Result<void, Failure>> {
    const { caller, key, attempt } = operation;
    return await this.#record(
      { kind: "abandon", caller, key, attempt },
      options,
    );
  }

  async #record(
    command: OperationsCommand,
    options: IDeadlineOptions,
  ): Promise<Result<void, Failure>> {
    const output = await this.#propose(command, () => options.deadline);
    if (output.isOk() && output.value.kind === "recorded") return ok(undefined);
    const reason = output.isOk() ? output.value.kind : output.error.message;
    const { caller, key, kind } = command;
    this.#events.emit(operationUnrecorded, { caller, key, kind, reason });
    return err(mayHaveRun("storage-error", reason));
  }

  /** Time until which a beginning request waits for an answer. */
  #beginDeadline(deadline: Deadline): Deadline {
    const { unavailableAt } = this.#monitor;
    return unavailableAt === undefined
      ? deadline
      : earlierDeadline(deadline, unavailableAt);
  }

  /**
   * Sends a command until its outcome is known. All commands are idempotent.
   *
   * @param giveUpAt returns the time at which to give up, which becomes
   * earlier once an outage begins.
   */
  async #propose(
    command: OperationsCommand,
    giveUpAt: () => Deadline,
  ): Promise<Result<OperationsOutput, Failure>> {
    for (;;) {
      const startedAt = this.#clock.monotonic();
      const sendDeadline = this.#clock.deadlineIn(SEND_TIMEOUT_MILLISECONDS);
      const output = await this.#control.propose(operationsSection, command, {
        deadline: earlierDeadline(sendDeadline, giveUpAt()),
      });
      if (output.isOk()) {
        this.#monitor.reportAnswer();
        return output;
      }
      this.#monitor.reportNoAnswer(startedAt);
      const pause = this.#clock.deadlineIn(RESEND_DELAY_MILLISECONDS);
      if (pause >= giveUpAt()) return output;
      await this.#clock.sleepUntil(pause);
    }
  }

  #toBeginOutcome(
    operation: IOperation,
    output: OperationsOutput,
  ): Result<BeginOutcome, Failure> {
    return match(output)
      .with(
        {
          kind: P.union("begun", "completed", "answer-dropped", "in-progress"),
        },
        (beginning) => ok(beginning),
      )
      .with({ kind: "other-request" }, () =>
        err(notRun(
          "conflict",
          "this idempotency key was used for another request",
        )))
      .with({ kind: "full" }, () => {
        this.#events.emit(operationsFull, { caller: operation.caller });
        const reason =
          "the limit of recorded non-idempotent requests is reached";
        return err(notRun("overloaded", reason, {
          retryAfterSeconds: FULL_RETRY_AFTER_SECONDS,
        }));
      })
      .otherwise(({ kind }) =>
        err(notRun("internal", `unexpected command output: ${kind}`))
      );
  }
}
