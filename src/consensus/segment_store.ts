import { Buffer } from "node:buffer";
import {
  closeSync,
  existsSync,
  ftruncateSync,
  mkdirSync,
  openSync,
  readdirSync,
  readSync,
  rmSync,
  writeSync,
} from "node:fs";
import { open } from "node:fs/promises";
import { join } from "node:path";
import type { SectionFile } from "./types.ts";

/** Maximum number of open files. */
const MAXIMUM_OPEN_FILES = 128;

/**
 * Number of snapshots taken after the removal of a file before it is deleted,
 * because an earlier snapshot that names it may still be copied.
 */
const REMOVED_FILE_RETENTION_SNAPSHOTS = 2;

interface IRemovedFile {
  name: string;
  /** Number of snapshots taken when it was removed. */
  snapshots: number;
}

/**
 * Append-only files of one section.
 *
 * Lengths are part of the replicated state, so a file that is longer on disk
 * is truncated before it is used. A removed file is deleted from disk only
 * when no snapshot that is still in use can name it.
 */
export class SegmentStore {
  #folder: string;
  #lengths = new Map<string, number>();
  #unwritten = new Map<string, Buffer[]>();
  #unsynced = new Set<string>();
  #descriptors = new Map<string, number>();
  #removed: IRemovedFile[] = [];
  #snapshots = 0;

  constructor(folder: string) {
    this.#folder = folder;
    mkdirSync(folder, { recursive: true });
  }

  length(name: string): number {
    return this.#lengths.get(name) ?? 0;
  }

  /** Length of all files together, in bytes. */
  get bytes(): number {
    let sum = 0;
    for (const length of this.#lengths.values()) sum += length;
    return sum;
  }

  /** Appends bytes, written by the next `flush`, and returns their offset. */
  append(name: string, bytes: Buffer): number {
    const offset = this.length(name);
    this.#lengths.set(name, offset + bytes.length);
    const parts = this.#unwritten.get(name);
    if (parts) parts.push(bytes);
    else this.#unwritten.set(name, [bytes]);
    return offset;
  }

  /** Writes all appended bytes, without syncing them to disk. */
  flush(): void {
    for (const [name, parts] of this.#unwritten) {
      const bytes = Buffer.concat(parts);
      const descriptor = this.#descriptor(name);
      writeFully(descriptor, bytes, this.length(name) - bytes.length);
      this.#unsynced.add(name);
    }
    this.#unwritten.clear();
  }

  /** Reads bytes that lie within the file's length. */
  read(name: string, offset: number, length: number): Buffer {
    const bytes = Buffer.alloc(
      Math.max(0, Math.min(length, this.length(name) - offset)),
    );
    if (bytes.length === 0) return bytes;
    readSync(this.#descriptor(name), bytes, 0, bytes.length, offset);
    return bytes;
  }

  remove(name: string): void {
    if (!this.#lengths.delete(name)) return;
    this.#unwritten.delete(name);
    this.#unsynced.delete(name);
    this.#removed.push({ name, snapshots: this.#snapshots });
  }

  /** Returns the files and starts to sync them to disk. */
  snapshot(): { files: SectionFile[]; synced: Promise<void> } {
    this.flush();
    this.#snapshots += 1;
    this.#deleteRemoved();
    const files = [...this.#lengths].map(([name, length]) => ({
      name,
      length,
    }));
    const unsynced = [...this.#unsynced];
    this.#unsynced.clear();
    return { files, synced: this.#sync(unsynced) };
  }

  /** Adopts the given files, which are on disk, and deletes all others. */
  restore(files: readonly SectionFile[]): void {
    this.#closeAll();
    for (const { name, length } of files) {
      this.#lengths.set(name, length);
    }
    for (const name of readdirSync(this.#folder)) {
      if (!this.#lengths.has(name)) rmSync(join(this.#folder, name));
    }
  }

  /** Deletes every file. */
  reset(): void {
    this.restore([]);
  }

  #descriptor(name: string): number {
    const known = this.#descriptors.get(name);
    if (known !== undefined) {
      this.#descriptors.delete(name);
      this.#descriptors.set(name, known);
      return known;
    }
    const path = join(this.#folder, name);
    const descriptor = openSync(path, existsSync(path) ? "r+" : "w+");
    const parts = this.#unwritten.get(name) ?? [];
    const unwritten = parts.reduce((sum, part) => sum + part.length, 0);
    ftruncateSync(descriptor, this.length(name) - unwritten);
    this.#descriptors.set(name, descriptor);
    this.#closeOldest();
    return descriptor;
  }

  #closeOldest(): void {
    if (this.#descriptors.size <= MAXIMUM_OPEN_FILES) return;
    const [oldest] = this.#descriptors;
    if (!oldest) return;
    closeSync(oldest[1]);
    this.#descriptors.delete(oldest[0]);
  }

  async #sync(names: string[]): Promise<void> {
    try {
      for (const name of names) await this.#syncFile(name);
    } catch (error) {
      names.forEach((name) => this.#unsynced.add(name));
      throw error;
    }
    const folder = await open(this.#folder, "r");
    await folder.sync();
    await folder.close();
  }

  async #syncFile(name: string): Promise<void> {
    const path = join(this.#folder, name);
    if (!existsSync(path)) return;
    const file = await open(path, "r+");
    await file.datasync();
    await file.close();
  }

  #deleteRemoved(): void {
    const limit = this.#snapshots - REMOVED_FILE_RETENTION_SNAPSHOTS;
    const expired = this.#removed.filter(({ snapshots }) => snapshots <= limit);
    this.#removed = this.#removed.filter(({ snapshots }) => snapshots > limit);
    for (const { name } of expired) {
      this.#close(name);
      rmSync(join(this.#folder, name), { force: true });
    }
  }

  #close(name: string): void {
    const descriptor = this.#descriptors.get(name);
    if (descriptor !== undefined) closeSync(descriptor);
    this.#descriptors.delete(name);
  }

  #closeAll(): void {
    for (const name of [...this.#descriptors.keys()]) this.#close(name);
    this.#lengths.clear();
    this.#unwritten.clear();
    this.#unsynced.clear();
    this.#removed = [];
  }
}

/** Writes all bytes; the system may take only some of them at a time. */
function writeFully(descriptor: number, bytes: Buffer, position: number): void {
  let written = 0;
  while (written < bytes.length) {
    const rest = bytes.length - written;
    written += writeSync(descriptor, bytes, written, rest, position + written);
  }
}
