import type { Buffer } from "node:buffer";

/** Append-only file. */
export interface IStorageFile {
  /** Writes at the end; durable after the next `sync`. */
  append(bytes: Buffer): Promise<void>;
  sync(): Promise<void>;
  close(): Promise<void>;
}

/**
 * Data folder of a replica. Names are paths below it, with `/`.
 *
 * Every method rejects when the disk fails. The replica then leaves the
 * quorum, because the content of a file after a failed sync is unknown.
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
  /** Opens a file for appending; a new file's directory entry is synced. */
  open(name: string): Promise<IStorageFile>;
  /** Replaces a whole file durably; if that fails, the old one stays. */
  replace(name: string, bytes: Buffer): Promise<void>;
  /** Truncates a file to a length, durably. */
  truncate(name: string, length: number): Promise<void>;
  /** Renames a file, durably, over an existing one. */
  rename(from: string, to: string): Promise<void>;
  /** Removes a file, durably; does nothing if there is none. */
  remove(name: string): Promise<void>;
}
