import { match } from "ts-pattern";
import { z } from "zod";
import type {
  IApplyContext,
  IStateSection,
  SectionSnapshot,
} from "../consensus/mod.ts";
import {
  type OperationRecord,
  operationRecordSchema,
  type OperationsCommand,
  type OperationsOutput,
  operationsSection,
} from "./messages.ts";

/** Limits of the operation records. */
export interface IOperationLimits {
  /** Time for which a record is kept after its latest change. */
  readonly retentionMilliseconds: number;
  /** Maximum number of records. */
  readonly records: number;
  /** Maximum number of records of one caller. */
  readonly recordsPerCaller: number;
  /** Maximum length of all kept answers, in base64 characters. */
  readonly answerCharacters: number;
}

/** Limits used in production. */
export const OPERATION_LIMITS: IOperationLimits = {
  retentionMilliseconds: 3_600_000,
  records: 50_000,
  recordsPerCaller: 10_000,
  answerCharacters: 8 * 1024 * 1024,
};

const snapshotSchema = z.array(operationRecordSchema);

type Begin = Extract<OperationsCommand, { kind: "begin" }>;
type Complete = Extract<OperationsCommand, { kind: "complete" }>;
type Abandon = Extract<OperationsCommand, { kind: "abandon" }>;

/**
 * Replicated records of non-idempotent requests.
 *
 * The number of records is limited. A record is dropped a fixed time after
 * its latest change, never earlier; when a limit is reached, new operations
 * are refused. When the kept answers exceed their limit, those of the oldest
 * changes are dropped, while their records stay.
 */
export class OperationsSection implements
  IStateSection<
    typeof operationsSection.command,
    typeof operationsSection.output
  > {
  readonly definition = operationsSection;
  #limits: IOperationLimits;
  /** Records in the order of their latest changes. */
  #records = new Map<string, OperationRecord>();
  /** Keys of the records with answers, in the order of their completion. */
  #answered = new Set<string>();
  #answerCharacters = 0;
  #recordsByCaller = new Map<string, number>();

  constructor(limits: IOperationLimits = OPERATION_LIMITS) {
    this.#limits = limits;
  }

  get size(): number {
    return this.#records.size;
  }

  apply(
    command: OperationsCommand,
    context: IApplyContext,
  ): OperationsOutput {
    this.#expire(context.proposedAt);
    return match(command)
      .with({ kind: "begin" }, (begin) => this.#begin(begin, context))
      .with({ kind: "complete" }, (done) => this.#complete(done, context))
      .with({ kind: "abandon" }, (command) => this.#abandon(command, context))
      .exhaustive();
  }

  snapshot(): Promise<SectionSnapshot> {
    return Promise.resolve({ state: [...this.#records.values()], files: [] });
  }

  async restore(snapshot: SectionSnapshot): Promise<void> {
    await this.reset();
    for (const record of snapshotSchema.parse(snapshot.state)) {
      this.#put(record);
    }
  }

  reset(): Promise<void> {
    this.#records.clear();
    this.#answered.clear();
    this.#recordsByCaller.clear();
    this.#answerCharacters = 0;
    return Promise.resolve();
  }

  #begin(command: Begin, context: IApplyContext): OperationsOutput {
    const known = this.#records.get(recordKey(command));
    const isNew = !known ||
      (known.state === "abandoned" && known.attempt !== command.attempt);
    if (!isNew) return this.#answerRepeated(known, command);
    if (!known && this.#isFull(command.caller)) return { kind: "full" };
    const { caller, key, attempt, fingerprint } = command;
    const changedAt = context.proposedAt;
    const state = "begun" as const;
    this.#put({ caller, key, attempt, fingerprint, state, changedAt });
    return { kind: "begun" };
  }

  /** Answers a request whose key already has a record. */
  #answerRepeated(known: OperationRecord, command: Begin): OperationsOutput {
    if (known.fingerprint !== command.fingerprint) {
      return { kind: "other-request" };
    }
    if (known.state === "completed") {
      const { answer } = known;
      return answer
        ? { kind: "completed", answer }
        : { kind: "answer-dropped" };
    }
    // The same attempt asks again when the answer to its `begin` was lost. It
    // runs only after it receives an answer, so it runs only once.
    const same = known.attempt === command.attempt && known.state === "begun";
    return { kind: same ? "begun" : "in-progress" };
  }

  #complete(command: Complete, context: IApplyContext): OperationsOutput {
    const known = this.#records.get(recordKey(command));
    if (known?.attempt !== command.attempt) {
      return { kind: "unknown-operation" };
    }
    if (known.state === "begun") {
      const { answer } = command;
      const changedAt = context.proposedAt;
      this.#put({ ...known, state: "completed", answer, changedAt });
      this.#dropAnswers();
    }
    return { kind: "recorded" };
  }

  #abandon(command: Abandon, context: IApplyContext): OperationsOutput {
    const known = this.#records.get(recordKey(command));
    if (known?.attempt !== command.attempt) {
      return { kind: "unknown-operation" };
    }
    if (known.state === "begun") {
      // The record stays, so that a late duplicate of `begin` is refused.
      const changedAt = context.proposedAt;
      this.#put({ ...known, state: "abandoned", changedAt });
    }
    return { kind: "recorded" };
  }

  #isFull(caller: string): boolean {
    return this.#records.size >= this.#limits.records ||
      (this.#recordsByCaller.get(caller) ?? 0) >= this.#limits.recordsPerCaller;
  }

  #put(record: OperationRecord): void {
    const key = recordKey(record);
    this.#remove(key);
    this.#records.set(key, record);
    this.#countCaller(record.caller, 1);
    if (!record.answer) return;
    this.#answered.add(key);
    this.#answerCharacters += record.answer.body.length;
  }

  #remove(key: string): void {
    const record = this.#records.get(key);
    if (!record) return;
    this.#records.delete(key);
    this.#countCaller(record.caller, -1);
    if (!record.answer) return;
    this.#answered.delete(key);
    this.#answerCharacters -= record.answer.body.length;
  }

  #countCaller(caller: string, difference: number): void {
    const count = (this.#recordsByCaller.get(caller) ?? 0) + difference;
    if (count === 0) this.#recordsByCaller.delete(caller);
    else this.#recordsByCaller.set(caller, count);
  }

  #expire(now: number): void {
    for (const [key, record] of this.#records) {
      if (record.changedAt + this.#limits.retentionMilliseconds > now) return;
      this.#remove(key);
    }
  }

  #dropAnswers(): void {
    for (const key of this.#answered) {
      if (this.#answerCharacters <= this.#limits.answerCharacters) return;
      const record = this.#records.get(key);
      if (!record?.answer) continue;
      this.#answerCharacters -= record.answer.body.length;
      this.#answered.delete(key);
      // Replaced without reordering, because dropping an answer does not
      // change the operation.
      this.#records.set(key, { ...record, answer: undefined });
    }
  }
}

function recordKey(operation: { caller: string; key: string }): string {
  return JSON.stringify([operation.caller, operation.key]);
}
