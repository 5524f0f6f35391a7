import {
  DisposableStore,
  Emitter,
  type IClock,
  invariant,
} from "../common/mod.ts";
import type { Entry } from "./entry.ts";
import type {
  HeldEntries,
  IHeldEntry,
  IRecordLocation,
} from "./held_entries.ts";
import type { WriteAheadLog } from "./write_ahead_log.ts";

/** Duration above which a write is reported as slow, in milliseconds. */
const SLOW_WRITE_MILLISECONDS = 1_000;

/**
 * Encoded size of the entries in one frame, in characters. A single entry may
 * be longer.
 */
const MAXIMUM_FRAME_CHARACTERS = 4 * 1024 * 1024;

/** Position in the log. */
export interface ILogPosition {
  readonly index: number;
  readonly term: number;
}

interface IPendingWrite {
  readonly entries: readonly Entry[];
  readonly records: string[];
  readonly firstIndex: number;
  readonly lastIndex: number;
  readonly finish: () => void;
  readonly reject: (error: Error) => void;
}

/**
 * Entries since the last compaction, on disk and, the latest ones, in memory.
 *
 * Appended entries can be read at once; a writer puts all pending entries into
 * a few frames, each with one sync (group commit). After a failed write nothing
 * more is written, and `onFailure` fires.
 */
export class LogStore {
  #wal: WriteAheadLog;
  #base: ILogPosition;
  #entries: HeldEntries;
  #pending: IPendingWrite[] = [];
  #writing: IPendingWrite[] = [];
  #writer: Promise<void> | undefined;
  /** Failure after which nothing is written. */
  #error: Error | undefined;
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
    options: { entries: HeldEntries; clock: IClock },
  ) {
    const { entries, clock } = options;
    this.#wal = wal;
    this.#base = base;
    this.#clock = clock;
    this.#entries = entries;
  }

  get firstIndex(): number {
    return this.#base.index + 1;
  }

  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.last?.term ?? this.#base.term;
  }

  /** Time stamp of the last entry; 0 when there is none. */
  get lastProposedAt(): number {
    return this.#entries.last?.proposedAt ?? 0;
  }

  /** Encoded size of all entries, in characters. */
  get characters(): number {
    return this.#entries.characters;
  }

  /** Encoded size of the entries in memory, in characters. */
  get loadedCharacters(): number {
    return this.#entries.loadedCharacters;
  }

  /** Last index up to which every entry is durable on this replica. */
  get syncedIndex(): number {
    const waiting = [...this.#writing, ...this.#pending];
    const first = Math.min(...waiting.map(({ firstIndex }) => firstIndex));
    return Math.min(this.lastIndex, first - 1);
  }

  /** Whether the disk has failed. */
  get isFailed(): boolean {
    return this.#error !== undefined;
  }

  /** Term of an entry; undefined if the entry is compacted or missing. */
  termAt(index: number): number | undefined {
    if (index === this.#base.index) return this.#base.term;
    return this.#held(index)?.term;
  }

  /**
   * Entries from an index on: at least one, and more up to an encoded size.
   * Fewer if some were compacted or replaced meanwhile.
   */
  async entriesFrom(
    index: number,
    maximumCharacters: number,
  ): Promise<Entry[]> {
    const selected = this.#select(index, maximumCharacters);
    const entries: Entry[] = [];
    for (let start = 0; start < selected.length;) {
      const run = selected.slice(start, start + runLength(selected, start));
      start += run.length;
      try {
        entries.push(...await this.#load(run));
      } catch (error) {
        if (this.#held(run[0]?.index ?? 0) === run[0]) throw error;
        break;
      }
    }
    return entries;
  }

  /** Encoded size of some entries from an index on, in characters. */
  sizeFrom(index: number, count: number): number {
    let sum = 0;
    for (let next = index; next < index + count; next++) {
      sum += this.#held(next)?.characters ?? 0;
    }
    return sum;
  }

  /**
   * First index before a position from which on the entries up to it have at
   * most a number and an encoded size.
   */
  trailingStart(
    index: number,
    maximum: { entries: number; characters: number },
  ): number {
    let start = index + 1;
    let characters = 0;
    while (start > this.firstIndex && index - start + 1 < maximum.entries) {
      characters += this.#held(start - 1)?.characters ?? 0;
      if (characters > maximum.characters) break;
      start -= 1;
    }
    return start;
  }

  /**
   * Appends entries, replacing existing ones from the first index on.
   * Resolves when they are durable; rejects if the disk fails.
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
    this.#entries.truncate(first.index - this.firstIndex);
    const records = entries.map((entry) => {
      const record = JSON.stringify(entry);
      this.#entries.push(entry, record.length);
      return record;
    });
    return new Promise((finish, reject) => {
      if (this.#error) return reject(this.#error);
      const { index: firstIndex } = first;
      const { index: lastIndex } = last;
      this.#pending.push({
        ...{ entries, records, firstIndex, lastIndex, finish, reject },
      });
      this.#writer ??= this.#write();
    });
  }

  /**
   * Resolves when everything appended so far is durable; rejects if the disk
   * fails.
   */
  waitUntilSynced(): Promise<void> {
    if (this.#error) return Promise.reject(this.#error);
    const last = this.#pending.at(-1) ?? this.#writing.at(-1);
    if (!last) return Promise.resolve();
    return new Promise((resolve, reject) => {
      const store = new DisposableStore();
      store.add(this.#synced.event(() => {
        if (this.#pending.includes(last) || this.#writing.includes(last)) {
          return;
        }
        store.dispose();
        resolve();
      }));
      store.add(this.#failure.event((error) => {
        store.dispose();
        reject(error);
      }));
    });
  }

  /** Removes entries up to an index that a durable snapshot covers. */
  async compact(index: number): Promise<void> {
    const term = this.termAt(index);
    if (term === undefined || index <= this.#base.index) return;
    this.#entries.removeFirst(index - this.#base.index);
    this.#base = { index, term };
    await this.#guard(() => this.#wal.removeThrough(index));
  }

  /** Continues after an installed snapshot; removes all entries. */
  async restartAfter(position: ILogPosition): Promise<void> {
    await this.waitUntilSynced();
    this.#entries.truncate(0);
    this.#base = position;
    await this.#guard(async () => {
      await this.#wal.restartAfter(position.index, position.term);
      await this.#wal.removeThrough(position.index);
    });
  }

  /** Records a failure that another component has met, and stops writing. */
  fail(error: Error): void {
    if (this.#error) return;
    this.#error = error;
    this.#failure.fire(error);
    for (const { reject } of [...this.#writing, ...this.#pending]) {
      reject(error);
    }
  }

  /** Waits for the write in progress and closes the files. */
  async close(): Promise<void> {
    await this.#writer;
    await this.#wal.close().catch(() => {});
  }

  /** Removes what a failed write has left behind; the log is closed. */
  async discardUnsynced(): Promise<void> {
    await this.#wal.discardUnsynced();
  }

  #held(index: number): IHeldEntry | undefined {
    return this.#entries.at(index - this.firstIndex);
  }

  #select(index: number, maximumCharacters: number): IHeldEntry[] {
    const selected: IHeldEntry[] = [];
    let characters = 0;
    for (
      let held = this.#held(index);
      held;
      held = this.#held(held.index + 1)
    ) {
      characters += held.characters;
      if (selected.length > 0 && characters > maximumCharacters) break;
      selected.push(held);
    }
    return selected;
  }

  /** Returns entries that are all in memory, or else all in one segment. */
  async #load(run: readonly IHeldEntry[]): Promise<Entry[]> {
    const entries = run.map(({ entry }) => entry).filter((it) =>
      it !== undefined
    );
    if (entries.length === run.length) return entries;
    const locations = run.map(({ location }) => location)
      .filter((it) => it !== undefined);
    invariant(locations.length === run.length, "unloaded entries are durable");
    return await this.#wal.read(locations);
  }

  async #write(): Promise<void> {
    while (this.#pending.length > 0 && !this.#error) {
      this.#writing = this.#takeFrame();
      const records = this.#writing.flatMap((write) => write.records);
      const indexes = this.#writing.map(({ lastIndex }) => lastIndex);
      const startedAt = this.#clock.monotonic();
      await this.#guard(async () => {
        const highestIndex = Math.max(...indexes);
        const locations = await this.#wal.append(records, highestIndex);
        this.#setLocations(locations);
      });
      if (this.#error) break;
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

  /** Removes the pending writes that the next frame holds; at least one. */
  #takeFrame(): IPendingWrite[] {
    let characters = 0;
    const end = this.#pending.findIndex(({ records }, position) => {
      characters += records.reduce((sum, { length }) => sum + length, 0);
      return position > 0 && characters > MAXIMUM_FRAME_CHARACTERS;
    });
    return this.#pending.splice(0, end === -1 ? this.#pending.length : end);
  }

  /** Records where the entries of the frame that was written are. */
  #setLocations(locations: readonly IRecordLocation[]): void {
    const written = this.#writing.flatMap(({ entries }) => entries);
    written.forEach((entry, number) => {
      const location = locations[number];
      // Another entry may have replaced it while it was written.
      const isHeld = this.#held(entry.index)?.entry === entry;
      const position = entry.index - this.firstIndex;
      if (location && isHeld) this.#entries.setLocation(position, location);
    });
  }

  async #guard(action: () => Promise<void>): Promise<void> {
    try {
      await action();
    } catch (error) {
      this.fail(error as Error);
    }
  }
}

/**
 * Number of entries from a position on that are all in memory, or else all in
 * the same segment.
 */
function runLength(selected: readonly IHeldEntry[], start: number): number {
  const first = selected[start];
  const isAlike = ({ entry, location }: IHeldEntry) =>
    first?.entry ? entry !== undefined : !entry &&
      location?.segment === first?.location?.segment;
  const end = selected.findIndex((held, position) =>
    position > start && !isAlike(held)
  );
  return (end === -1 ? selected.length : end) - start;
}
