import { setImmediate } from "node:timers/promises";
import {
  type Deadline,
  Emitter,
  type IDisposable,
  invariant,
} from "../common/mod.ts";
import { isDiskError } from "./disk_error.ts";
import type { Entry } from "./entry.ts";
import {
  entriesAppliedLate,
  replicasChanged,
  snapshotFailed,
  snapshotTaken,
} from "./events.ts";
import type { ReplicaState } from "./replica_state.ts";
import { ConditionVariable } from "./condition_variable.ts";
import type { ISnapshot, SnapshotStore } from "./snapshot_store.ts";
import type { StoredSnapshot } from "./stored_snapshot.ts";
import type { IStateSection, SectionSnapshot } from "./types.ts";

/** Entries applied before control returns to the event loop. */
const APPLY_BATCH_ENTRIES = 200;

/** Encoded size of the entries that are applied at once, in characters. */
const APPLY_BATCH_CHARACTERS = 1024 * 1024;

/** Wait of committed entries above which it is logged, in milliseconds. */
const LATE_APPLY_MILLISECONDS = 250;

/** Thresholds for compaction of the log. */
export interface ICompactionPolicy {
  /** Number of entries since the last snapshot that triggers a new one. */
  readonly entries: number;
  /** Encoded size of those entries that triggers a new one, in characters. */
  readonly bytes: number;
  /** Entries before the snapshot that are kept for slow peers. */
  readonly trailingEntries: number;
  /** Largest encoded size of those entries, in characters. */
  readonly trailingCharacters: number;
}

/** Compaction policy that daemons use. */
export const DEFAULT_COMPACTION: ICompactionPolicy = {
  entries: 10_000,
  bytes: 8 * 1024 * 1024,
  trailingEntries: 500,
  trailingCharacters: 16 * 1024 * 1024,
};

/** Entry that has been applied, with the output of its section. */
export interface IAppliedEntry {
  readonly entry: Entry;
  readonly output: unknown;
}

/** Work that no entry is applied during. */
interface IStateTask {
  run(): Promise<void>;
  /** Ends the task without running it. */
  reject(error: Error): void;
}

/** Applies committed entries to the sections, and captures their state. */
export class StateMachine implements IDisposable {
  #sections: Map<string, IStateSection>;
  #store: SnapshotStore;
  #state: ReplicaState;
  #compaction: ICompactionPolicy;
  #appliedIndex: number;
  #behindSince: Deadline | undefined;
  #lastProposedAt: number;
  #lastSnapshotAttempt: { index: number; bytes: number };
  #saving: Promise<void> | undefined;
  #tasks: IStateTask[] = [];
  #work = new ConditionVariable();
  #disposed = false;
  readonly #applied = new Emitter<IAppliedEntry>();
  /** Fires for each applied entry, in order. */
  readonly onApplied = this.#applied.event;

  constructor(
    sections: readonly IStateSection[],
    state: ReplicaState,
    options: {
      store: SnapshotStore;
      compaction: ICompactionPolicy;
      /** Snapshot that the sections already hold. */
      snapshot: StoredSnapshot | undefined;
    },
  ) {
    this.#sections = new Map(sections.map((it) => [it.definition.name, it]));
    this.#state = state;
    this.#store = options.store;
    this.#compaction = options.compaction;
    this.#appliedIndex = options.snapshot?.index ?? 0;
    this.#lastProposedAt = options.snapshot?.proposedAt ?? 0;
    this.#lastSnapshotAttempt = { index: this.#appliedIndex, bytes: 0 };
    state.onCommit(() => {
      this.#behindSince ??= state.clock.monotonic();
      this.#work.notify();
    });
  }

  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** When the oldest entry that is not applied yet was committed. */
  get behindSince(): Deadline | undefined {
    return this.#behindSince;
  }

  /** Time stamp of the last applied entry. */
  get lastProposedAt(): number {
    return this.#lastProposedAt;
  }

  /** Parses a command; undefined if the section does not accept it. */
  parse(section: string, command: unknown): unknown {
    const parsed = this.#sections.get(section)?.definition.command
      .safeParse(command);
    return parsed?.success ? parsed.data : undefined;
  }

  /** Applies entries as they are committed, until disposed. */
  async run(): Promise<void> {
    while (!this.#disposed && this.#state.role !== "stopped") {
      const task = this.#tasks.shift();
      if (task) {
        await task.run();
      } else if (this.#appliedIndex < this.#state.commitIndex) {
        await this.#applyBatch();
        if (this.#isSnapshotDue()) await this.#captureSnapshot();
      } else {
        await this.#work.wait();
      }
    }
  }

  /** Replaces the current state with an installed snapshot. */
  installSnapshot(
    prepare: () => Promise<StoredSnapshot>,
  ): Promise<StoredSnapshot> {
    return new Promise((resolve, reject) => {
      const run = async () => {
        try {
          await this.#saving;
          for (const section of this.#sections.values()) {
            await section.reset();
          }
          const snapshot = await prepare();
          await restoreSections(this.#sections.values(), snapshot);
          invariant(
            snapshot.index >= this.#appliedIndex,
            "the applied index only increases",
          );
          this.#appliedIndex = snapshot.index;
          if (snapshot.index >= this.#state.commitIndex) this.#recordCaughtUp();
          this.#lastProposedAt = snapshot.proposedAt;
          this.#lastSnapshotAttempt = { index: snapshot.index, bytes: 0 };
          resolve(snapshot);
        } catch (error) {
          this.#state.fail(error as Error);
          reject(error);
        }
      };
      this.#tasks.push({ run, reject });
      if (this.#disposed) this.#rejectTasks();
      this.#work.notify();
    });
  }

  dispose(): void {
    this.#disposed = true;
    this.#rejectTasks();
    this.#work.notify();
  }

  /** Ends tasks that will not run, so that nothing waits for them. */
  #rejectTasks(): void {
    for (const { reject } of this.#tasks.splice(0)) {
      reject(new Error("the replica is stopped"));
    }
  }

  /** Waits for the snapshot that is being written. */
  async waitForSnapshot(): Promise<void> {
    await this.#saving;
  }

  async #applyBatch(): Promise<void> {
    const { commitIndex, log } = this.#state;
    const count = Math.min(
      commitIndex - this.#appliedIndex,
      APPLY_BATCH_ENTRIES,
    );
    try {
      const first = this.#appliedIndex + 1;
      const entries = await log.entriesFrom(first, APPLY_BATCH_CHARACTERS);
      invariant(entries.length > 0, "committed entries are in the log");
      for (const entry of entries.slice(0, count)) this.#applyNext(entry);
    } catch (error) {
      this.#state.fail(error as Error);
    }
    if (this.#appliedIndex < commitIndex) await setImmediate();
    if (this.#appliedIndex >= this.#state.commitIndex) this.#recordCaughtUp();
  }

  #recordCaughtUp(): void {
    const { clock, events } = this.#state;
    const since = this.#behindSince ?? clock.monotonic();
    this.#behindSince = undefined;
    const milliseconds = Math.round(clock.monotonic() - since);
    if (milliseconds < LATE_APPLY_MILLISECONDS) return;
    events.emit(entriesAppliedLate, {
      index: this.#appliedIndex,
      milliseconds,
    });
  }

  #applyNext(entry: Entry): void {
    invariant(
      entry.index === this.#appliedIndex + 1,
      "entries are applied in order",
    );
    invariant(
      entry.proposedAt >= this.#lastProposedAt,
      "the time of proposals never decreases",
    );
    const output = this.#apply(entry);
    this.#appliedIndex = entry.index;
    this.#lastProposedAt = entry.proposedAt;
    this.#lastSnapshotAttempt.bytes += this.#state.log.sizeFrom(entry.index, 1);
    this.#applied.fire({ entry, output });
  }

  #apply(entry: Entry): unknown {
    const { index, term, proposedAt, body } = entry;
    if (body.kind === "replicas") {
      this.#reportReplicas(index);
      return undefined;
    }
    const section = this.#sections.get(body.section);
    invariant(section !== undefined, `section ${body.section} exists`);
    return section.apply(body.command, { index, term, proposedAt });
  }

  #reportReplicas(index: number): void {
    const before = this.#state.replicaSetHistory.at(index - 1);
    const after = this.#state.replicaSetHistory.at(index);
    if (JSON.stringify(before) === JSON.stringify(after)) return;
    this.#state.events.emit(replicasChanged, {
      index,
      voters: after.voters.map(({ id }) => id),
      learners: after.learners.map(({ id }) => id),
    });
  }

  #isSnapshotDue(): boolean {
    if (this.#saving || this.#state.role === "stopped") return false;
    const entries = this.#appliedIndex - this.#lastSnapshotAttempt.index;
    return entries >= this.#compaction.entries ||
      this.#lastSnapshotAttempt.bytes >= this.#compaction.bytes;
  }

  /** Captures all sections at one index; applies no entries meanwhile. */
  async #captureSnapshot(): Promise<void> {
    const startedAt = this.#state.clock.monotonic();
    const index = this.#appliedIndex;
    this.#lastSnapshotAttempt = { index, bytes: 0 };
    const sections: Record<string, SectionSnapshot> = {};
    let isComplete = true;
    await Promise.all(
      [...this.#sections].map(async ([name, section]) => {
        try {
          sections[name] = await section.snapshot();
        } catch (error) {
          isComplete = false;
          const reason = (error as Error).message;
          this.#state.events.emit(snapshotFailed, { section: name, reason });
          // A later sync would not cover what this one has failed to write.
          if (isDiskError(error)) this.#state.fail(error as Error);
        }
      }),
    );
    if (!isComplete) return;
    const { clock, log, replicaSetHistory } = this.#state;
    const captured = { startedAt, endedAt: clock.monotonic() };
    const snapshot = {
      index,
      term: log.termAt(index) ?? 0,
      proposedAt: this.#lastProposedAt,
      replicas: replicaSetHistory.at(index),
      sections,
    };
    this.#saving = this.#saveSnapshot(snapshot, captured);
  }

  async #saveSnapshot(
    snapshot: ISnapshot,
    captured: { startedAt: number; endedAt: number },
  ): Promise<void> {
    const { clock, events, log, replicaSetHistory } = this.#state;
    try {
      const bytes = await this.#store.save(snapshot);
      const { index } = snapshot;
      const { trailingEntries, trailingCharacters } = this.#compaction;
      const firstKept = log.trailingStart(index, {
        entries: trailingEntries,
        characters: trailingCharacters,
      });
      await log.compact(firstKept - 1);
      replicaSetHistory.compact(log.firstIndex - 1);
      const { startedAt, endedAt } = captured;
      events.emit(snapshotTaken, {
        index,
        bytes,
        milliseconds: Math.round(clock.monotonic() - startedAt),
        captureMilliseconds: Math.round(endedAt - startedAt),
      });
    } catch (error) {
      this.#state.fail(error as Error);
    } finally {
      this.#saving = undefined;
    }
  }
}

/** Restores sections from a snapshot, or resets them to the empty state. */
export async function restoreSections(
  sections: Iterable<IStateSection>,
  snapshot: StoredSnapshot | undefined,
): Promise<void> {
  for (const section of sections) {
    if (snapshot) await snapshot.restore(section);
    else await section.reset();
  }
}
