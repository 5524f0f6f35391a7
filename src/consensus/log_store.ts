import { Emitter, type IClock, invariant } from "../common/mod.ts";
import type { Entry } from "./entry.ts";
import type { WriteAheadLog } from "./write_ahead_log.ts";

/** Duration above which a write is reported as slow, in milliseconds. */
const SLOW_WRITE_MILLISECONDS = 1_000;

/** Position in the log. */
export interface ILogPosition {
  readonly index: number;
  readonly term: number;
}

interface IPendingWrite {
  readonly records: string[];
  readonly firstIndex: number;
  readonly lastIndex: number;
  readonly finish: () => void;
}

/**
 * Entries since the last compaction, in memory and on disk.
 *
 * Appended entries can be read at once; a writer puts all pending entries into
 * one frame with one sync (group commit). After a failed write nothing more is
 * written, and `onFailure` fires.
 */
export class LogStore {
  #wal: WriteAheadLog;
  #base: ILogPosition;
  #entries: Entry[];
  #sizes: number[];
  #bytes = 0;
  #pending: IPendingWrite[] = [];
  #writing: IPendingWrite[] = [];
  #writer: Promise<void> | undefined;
  #failed = false;
  readonly #synced = new Emitter<void>();
  readonly #failure = new Emitter<Error>();
  readonly #slowWrite = new Emitter<number>();
  /** Fires when more entries are durable. */
  readonly onSynced = this.#synced.event;
  /** Fires once, when the disk fails. */
  readonly onFailure = this.#failure.event;
  /** Fires with the duration of a slow write, in milliseconds. */
  readonly onSlowWrite = this.#slowWrite.event;
  #clock: IClock;

  /** @param options.entries entries that follow the base position. */
  constructor(
    wal: WriteAheadLog,
    base: ILogPosition,
    options: { entries: Entry[]; clock: IClock },
  ) {
    const { entries, clock } = options;
    this.#wal = wal;
    this.#base = base;
    this.#clock = clock;
    this.#entries = entries;
    this.#sizes = entries.map((entry) => JSON.stringify(entry).length);
    this.#bytes = this.#sizes.reduce((sum, size) => sum + size, 0);
  }

  get firstIndex(): number {
    return this.#base.index + 1;
  }

  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#base.term;
  }

  /** Time stamp of the last entry; 0 when there is none. */
  get lastProposedAt(): number {
    return this.#entries.at(-1)?.proposedAt ?? 0;
  }

  /** Encoded size of the entries in memory, in characters. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Last index up to which every entry is durable on this replica. */
  get syncedIndex(): number {
    const waiting = [...this.#writing, ...this.#pending];
    const first = Math.min(...waiting.map(({ firstIndex }) => firstIndex));
    return Math.min(this.lastIndex, first - 1);
  }

  /** Whether the disk has failed. */
  get isFailed(): boolean {
    return this.#failed;
  }

  /** Term of an entry; undefined if the entry is compacted or missing. */
  termAt(index: number): number | undefined {
    if (index === this.#base.index) return this.#base.term;
    return this.at(index)?.term;
  }

  at(index: number): Entry | undefined {
    return this.#entries[index - this.firstIndex];
  }

  /** Entries from an index on: at least one, and more up to an encoded size. */
  entriesFrom(index: number, maximumCharacters: number): Entry[] {
    const start = index - this.firstIndex;
    let end = start;
    let bytes = 0;
    while (end < this.#entries.length) {
      bytes += this.#sizes[end] ?? 0;
      if (end > start && bytes > maximumCharacters) break;
      end += 1;
    }
    return this.#entries.slice(start, end);
  }

  /** Encoded size of some entries from an index on, in characters. */
  sizeFrom(index: number, count: number): number {
    const start = index - this.firstIndex;
    const sizes = this.#sizes.slice(start, start + count);
    return sizes.reduce((sum, size) => sum + size, 0);
  }

  /**
   * Appends entries, replacing existing ones from the first index on.
   * Resolves when they are durable; never resolves if the disk fails.
   */
  append(entries: readonly Entry[]): Promise<void> {
    const [first] = entries;
    const last = entries.at(-1);
    if (!first || !last) return this.waitUntilSynced();
    invariant(
      first.index >= this.firstIndex,
      "compacted entries are never replaced",
    );
    invariant(first.index <= this.lastIndex + 1, "the log has no gaps");
    this.#truncate(first.index);
    const records = entries.map((entry) => JSON.stringify(entry));
    this.#entries.push(...entries);
    this.#sizes.push(...records.map(({ length }) => length));
    this.#bytes += records.reduce((sum, { length }) => sum + length, 0);
    return new Promise((finish) => {
      const { index: firstIndex } = first;
      const { index: lastIndex } = last;
      this.#pending.push({ records, firstIndex, lastIndex, finish });
      this.#writer ??= this.#write();
    });
  }

  /** Resolves when everything appended so far is durable. */
  waitUntilSynced(): Promise<void> {
    const last = this.#pending.at(-1) ?? this.#writing.at(-1);
    if (!last) return Promise.resolve();
    return new Promise((resolve) => {
      const dispose = this.#synced.event(() => {
        if (this.#pending.includes(last) || this.#writing.includes(last)) {
          return;
        }
        dispose.dispose();
        resolve();
      });
    });
  }

  /** Removes entries up to an index that a durable snapshot covers. */
  async compact(index: number): Promise<void> {
    const term = this.termAt(index);
    if (term === undefined || index <= this.#base.index) return;
    const count = index - this.#base.index;
    this.#entries.splice(0, count);
    const removed = this.#sizes.splice(0, count);
    this.#bytes -= removed.reduce((sum, size) => sum + size, 0);
    this.#base = { index, term };
    await this.#guard(() => this.#wal.removeThrough(index));
  }

  /** Continues after an installed snapshot; removes all entries. */
  async restartAfter(position: ILogPosition): Promise<void> {
    await this.waitUntilSynced();
    this.#entries = [];
    this.#sizes = [];
    this.#bytes = 0;
    this.#base = position;
    await this.#guard(async () => {
      await this.#wal.restartAfter(position.index, position.term);
      await this.#wal.removeThrough(position.index);
    });
  }

  /** Records a failure that another component has met, and stops writing. */
  fail(error: Error): void {
    if (this.#failed) return;
    this.#failed = true;
    this.#failure.fire(error);
  }

  /** Waits for the write in progress and closes the files. */
  async close(): Promise<void> {
    await this.#writer;
    await this.#wal.close().catch(() => {});
  }

  #truncate(index: number): void {
    const kept = index - this.firstIndex;
    const removed = this.#sizes.splice(kept);
    this.#entries.length = kept;
    this.#bytes -= removed.reduce((sum, size) => sum + size, 0);
  }

  async #write(): Promise<void> {
    while (this.#pending.length > 0 && !this.#failed) {
      this.#writing = this.#pending;
      this.#pending = [];
      const records = this.#writing.flatMap((write) => write.records);
      const indexes = this.#writing.map(({ lastIndex }) => lastIndex);
      const startedAt = this.#clock.monotonic();
      await this.#guard(() => this.#wal.append(records, Math.max(...indexes)));
      if (this.#failed) break;
      const duration = this.#clock.monotonic() - startedAt;
      if (duration > SLOW_WRITE_MILLISECONDS) this.#slowWrite.fire(duration);
      const written = this.#writing;
      this.#writing = [];
      for (const { finish } of written) {
        finish();
      }
      this.#synced.fire();
    }
    this.#writer = undefined;
  }

  async #guard(action: () => Promise<void>): Promise<void> {
    try {
      await action();
    } catch (error) {
      this.fail(error as Error);
    }
  }
}
