import type { Entry } from "./entry.ts";
import type { ReplicaSet } from "./replica_set.ts";

/** Bytes of a record in a segment of the log. */
export interface IRecordLocation {
  /** Sequence number of the segment. */
  readonly segment: number;
  readonly offset: number;
  readonly length: number;
  readonly checksum: number;
}

/** An entry of the log, with or without its content in memory. */
export interface IHeldEntry {
  readonly index: number;
  readonly term: number;
  readonly proposedAt: number;
  /** Encoded size, in characters. */
  readonly characters: number;
  /** Members of the log, if the entry sets them. */
  readonly replicas: ReplicaSet | undefined;
  /** Undefined until the entry is durable. */
  location: IRecordLocation | undefined;
  /** Undefined if the content is only on disk. */
  entry: Entry | undefined;
}

/**
 * Consecutive entries of a log. The content of the latest ones is in memory, up
 * to a size; all entries that are not durable yet are in memory as well.
 */
export class HeldEntries {
  #maximumCharacters: number;
  #held: IHeldEntry[] = [];
  #characters = 0;
  /** Encoded size of the entries whose content is in memory. */
  #loadedCharacters = 0;
  /** Number of entries at the beginning whose content is only on disk. */
  #unloaded = 0;

  constructor(maximumCharacters: number) {
    this.#maximumCharacters = maximumCharacters;
  }

  get length(): number {
    return this.#held.length;
  }

  /** Encoded size of all entries, in characters. */
  get characters(): number {
    return this.#characters;
  }

  /** Encoded size of the entries in memory, in characters. */
  get loadedCharacters(): number {
    return this.#loadedCharacters;
  }

  get last(): IHeldEntry | undefined {
    return this.#held.at(-1);
  }

  at(position: number): IHeldEntry | undefined {
    return this.#held[position];
  }

  [Symbol.iterator](): IterableIterator<IHeldEntry> {
    return this.#held.values();
  }

  push(entry: Entry, characters: number, location?: IRecordLocation): void {
    const { index, term, proposedAt, body } = entry;
    const replicas = body.kind === "replicas" ? body.replicas : undefined;
    this.#held.push({
      ...{ index, term, proposedAt, characters, replicas, location, entry },
    });
    this.#characters += characters;
    this.#loadedCharacters += characters;
    this.#unload();
  }

  /** Records where an entry is on disk, so that it need not stay in memory. */
  setLocation(position: number, location: IRecordLocation): void {
    const held = this.#held[position];
    if (held) held.location = location;
    this.#unload();
  }

  /** Removes all entries after the first ones. */
  truncate(length: number): void {
    this.#discard(this.#held.splice(length));
    this.#unloaded = Math.min(this.#unloaded, this.#held.length);
  }

  removeFirst(count: number): void {
    this.#discard(this.#held.splice(0, count));
    this.#unloaded = Math.max(0, this.#unloaded - count);
  }

  #discard(removed: readonly IHeldEntry[]): void {
    for (const { characters, entry } of removed) {
      this.#characters -= characters;
      if (entry) this.#loadedCharacters -= characters;
    }
  }

  #unload(): void {
    while (this.#loadedCharacters > this.#maximumCharacters) {
      const oldest = this.#held[this.#unloaded];
      if (!oldest?.location) return;
      oldest.entry = undefined;
      this.#loadedCharacters -= oldest.characters;
      this.#unloaded += 1;
    }
  }
}
