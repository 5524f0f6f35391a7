import { err, ok, type Result } from "neverthrow";
import { match, P } from "ts-pattern";
import {
  type Failure,
  type IClock,
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
import type {
  IOperation,
  IOperationAnswer,
  IOperationLedger,
  OperationBeginning,
} from "./types.ts";

/** Pause before a command with an unknown outcome is sent again. */
const RESEND_PAUSE_MILLISECONDS = 50;

/** Time that one sending of a command may take, in milliseconds. */
const SEND_TIMEOUT_MILLISECONDS = 1_500;

/** Seconds after which a request may return when the record is full. */
const FULL_RETRY_AFTER_SECONDS = 60;

/** Reaches the record of operations at the log's leader. */
export class OperationLedger implements IOperationLedger {
  #control: IControlClient;
  #clock: IClock;
  #events: IEventLog;

  constructor(
    control: IControlClient,
    options: { clock: IClock; events: IEventLog },
  ) {
    this.#control = control;
    this.#clock = options.clock;
    this.#events = options.events;
  }

  async begin(
    operation: IOperation,
    options: IDeadlineOptions & { fingerprint: string },
  ): Promise<Result<OperationBeginning, Failure>> {
    const { caller, key, attempt } = operation;
    const { fingerprint } = options;
    const output = await this.#propose(
      { kind: "begin", caller, key, attempt, fingerprint },
      options,
    );
    return output.andThen((output) => this.#readBeginning(operation, output));
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
    const output = await this.#propose(command, options);
    if (output.isOk() && output.value.kind === "recorded") return ok(undefined);
    const reason = output.isOk() ? output.value.kind : output.error.message;
    const { caller, key, kind } = command;
    this.#events.emit(operationUnrecorded, { caller, key, kind, reason });
    return err(mayHaveRun("storage-error", reason));
  }

  /** Sends a command until its outcome is known; all are safe to repeat. */
  async #propose(
    command: OperationsCommand,
    options: IDeadlineOptions,
  ): Promise<Result<OperationsOutput, Failure>> {
    for (;;) {
      const send = this.#clock.deadlineIn(SEND_TIMEOUT_MILLISECONDS);
      const isLast = send >= options.deadline;
      const output = await this.#control.propose(operationsSection, command, {
        deadline: isLast ? options.deadline : send,
      });
      if (output.isOk() || this.#clock.isPast(options.deadline)) return output;
      const pause = this.#clock.deadlineIn(RESEND_PAUSE_MILLISECONDS);
      if (pause >= options.deadline) return output;
      await this.#clock.sleepUntil(pause);
    }
  }

  #readBeginning(
    operation: IOperation,
    output: OperationsOutput,
  ): Result<OperationBeginning, Failure> {
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
        const reason = "no room to record another non-idempotent request";
        return err(notRun("overloaded", reason, {
          retryAfterSeconds: FULL_RETRY_AFTER_SECONDS,
        }));
      })
      .otherwise(({ kind }) =>
        err(notRun("internal", `unexpected output ${kind}`))
      );
  }
}
