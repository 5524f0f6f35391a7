import type { Buffer } from "node:buffer";

/** File that is written at its end only. */
export interface IStorageFile {
  /** Writes at the end; durable after the next `sync`. */
  append(bytes: Buffer): Promise<void>;
  sync(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Data folder of a replica. Names are paths below it, with `/`.
 *
 * Every method rejects when the disk fails; the replica then leaves the
 * quorum, since what a failed sync left behind is unknown.
 */
export interface IStorage {
  /** Names of the files below a folder, sorted; empty if there is none. */
  list(folder: string): Promise<string[]>;
  /** Length of a file in bytes, or undefined if there is none. */
  size(name: string): Promise<number | undefined>;
  /** Reads a whole file, or undefined if there is none. */
  read(name: string): Promise<Buffer | undefined>;
  /** Reads a part of a file; shorter at its end. */
  readPart(name: string, offset: number, length: number): Promise<Buffer>;
  /** Opens a file for appending; a new file's folder entry is synced. */
  open(name: string): Promise<IStorageFile>;
  /** Puts a whole file in place durably, or leaves the old one. */
  replace(name: string, bytes: Buffer): Promise<void>;
  /** Cuts a file to a length, durably. */
  truncate(name: string, length: number): Promise<void>;
  /** Renames a file, durably, over an existing one. */
  rename(from: string, to: string): Promise<void>;
  /** Removes a file, durably; nothing happens if there is none. */
  remove(name: string): Promise<void>;
}
