import type {
  IApplyContext,
  IStateSection,
  SectionSnapshot,
} from "../consensus/mod.ts";
import { z } from "zod";
import { Emitter } from "../common/mod.ts";
import {
  type AcceptedConfiguration,
  acceptedConfigurationSchema,
  type ApplyCommand,
  type ApplyOutput,
  type ChangeRecord,
  changeRecordSchema,
  configurationSection,
} from "./messages.ts";

/** Changes whose records are kept, to answer repeated requests. */
const MAXIMUM_HISTORY_RECORDS = 10_000;

const snapshotSchema = z.object({
  current: acceptedConfigurationSchema.optional(),
  history: z.array(changeRecordSchema),
});

/** Replicated configuration, changed by compare-and-set on its version. */
export class ConfigurationSection implements
  IStateSection<
    typeof configurationSection.command,
    typeof configurationSection.output
  > {
  readonly definition = configurationSection;
  #current: AcceptedConfiguration | undefined;
  #history: ChangeRecord[] = [];
  #byChangeId = new Map<string, ChangeRecord>();
  #accepted = new Emitter<AcceptedConfiguration>();
  /** Fires after a configuration was accepted or restored. */
  readonly onAccepted = this.#accepted.event;

  get current(): AcceptedConfiguration | undefined {
    return this.#current;
  }

  /** Whether a change with this identifier was accepted and is recorded. */
  hasChange(changeId: string): boolean {
    return this.#byChangeId.has(changeId);
  }

  /** Returns the latest changes, newest first. */
  history(limit: number): ChangeRecord[] {
    return this.#history.slice(-limit).reverse();
  }

  apply(command: ApplyCommand, context: IApplyContext): ApplyOutput {
    const earlier = this.#byChangeId.get(command.changeId);
    if (earlier) return { kind: "accepted", record: earlier };
    const version = this.#current?.version ?? 0;
    if (command.expectedVersion !== version) {
      return { kind: "conflict", record: this.#history.at(-1) };
    }
    const record = {
      version: version + 1,
      changeId: command.changeId,
      operator: command.operator,
      acceptedAt: context.proposedAt,
    };
    this.#current = { ...record, document: command.document };
    this.#addRecord(record);
    this.#accepted.fire(this.#current);
    return { kind: "accepted", record };
  }

  snapshot(): Promise<SectionSnapshot> {
    const state = { current: this.#current, history: this.#history };
    return Promise.resolve({ state: structuredClone(state), files: [] });
  }

  async restore(snapshot: SectionSnapshot): Promise<void> {
    await this.reset();
    const state = snapshotSchema.parse(snapshot.state);
    this.#current = state.current;
    for (const record of state.history) {
      this.#addRecord(record);
    }
    if (this.#current) this.#accepted.fire(this.#current);
  }

  reset(): Promise<void> {
    this.#current = undefined;
    this.#history = [];
    this.#byChangeId.clear();
    return Promise.resolve();
  }

  #addRecord(record: ChangeRecord): void {
    this.#history.push(record);
    this.#byChangeId.set(record.changeId, record);
    if (this.#history.length <= MAXIMUM_HISTORY_RECORDS) return;
    const dropped = this.#history.shift();
    if (dropped) this.#byChangeId.delete(dropped.changeId);
  }
}
