import { Buffer } from "node:buffer";
import { mkdir, open, readdir, readFile } from "node:fs/promises";
import { rename, rm, stat } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, join, relative, sep } from "node:path";
import type { IStorage, IStorageFile } from "./storage.ts";

/** Storage in a folder of the file system. */
export class FolderStorage implements IStorage {
  #folder: string;
  #onSynced: (milliseconds: number) => void;

  /** @param onSynced called with the time that each sync of a file took. */
  constructor(
    folder: string,
    onSynced: (milliseconds: number) => void = () => {},
  ) {
    this.#folder = folder;
    this.#onSynced = onSynced;
  }

  async list(folder: string): Promise<string[]> {
    const path = join(this.#folder, folder);
    const options = { recursive: true, withFileTypes: true } as const;
    const entries = await undefinedIfMissing(readdir(path, options)) ?? [];
    return entries
      .filter((entry) => entry.isFile())
      .map((entry) => join(entry.parentPath, entry.name))
      .map((path) => relative(this.#folder, path).split(sep).join("/"))
      .sort();
  }

  async size(name: string): Promise<number | undefined> {
    return (await undefinedIfMissing(stat(this.#path(name))))?.size;
  }

  async read(name: string): Promise<Buffer | undefined> {
    return await undefinedIfMissing(readFile(this.#path(name)));
  }

  async readPart(
    name: string,
    offset: number,
    length: number,
  ): Promise<Buffer> {
    const file = await open(this.#path(name), "r");
    try {
      const bytes = Buffer.alloc(length);
      const { bytesRead } = await file.read(bytes, 0, length, offset);
      return bytes.subarray(0, bytesRead);
    } finally {
      await file.close();
    }
  }

  async open(name: string): Promise<IStorageFile> {
    await this.#makeFolder(name);
    const file = await open(this.#path(name), "a");
    await this.#syncFolder(name);
    return new FolderFile(file, this.#onSynced);
  }

  async replace(name: string, bytes: Buffer): Promise<void> {
    const temporary = `${name}.tmp`;
    await this.#makeFolder(name);
    const file = await open(this.#path(temporary), "w");
    try {
      await file.writeFile(bytes);
      await file.sync();
    } finally {
      await file.close();
    }
    await this.rename(temporary, name);
  }

  async truncate(name: string, length: number): Promise<void> {
    const file = await open(this.#path(name), "r+");
    try {
      await file.truncate(length);
      await file.sync();
    } finally {
      await file.close();
    }
  }

  async rename(from: string, to: string): Promise<void> {
    await this.#makeFolder(to);
    await rename(this.#path(from), this.#path(to));
    await this.#syncFolder(to);
  }

  async remove(name: string): Promise<void> {
    if (await this.size(name) === undefined) return;
    await rm(this.#path(name), { force: true });
    await this.#syncFolder(name);
  }

  #path(name: string): string {
    return join(this.#folder, name);
  }

  async #makeFolder(name: string): Promise<void> {
    const folder = dirname(this.#path(name));
    const first = await mkdir(folder, { recursive: true });
    if (first === undefined) return;
    // The directory entry of every new folder must be durable as well.
    for (let path = folder; path.length >= first.length; path = dirname(path)) {
      await syncPath(dirname(path));
    }
  }

  async #syncFolder(name: string): Promise<void> {
    await syncPath(dirname(this.#path(name)));
  }
}

/** Append-only file of a `FolderStorage`. */
class FolderFile implements IStorageFile {
  #file: FileHandle;
  #onSynced: (milliseconds: number) => void;

  constructor(file: FileHandle, onSynced: (milliseconds: number) => void) {
    this.#file = file;
    this.#onSynced = onSynced;
  }

  async append(bytes: Buffer): Promise<void> {
    await this.#file.appendFile(bytes);
  }

  async sync(): Promise<void> {
    const startedAt = performance.now();
    await this.#file.datasync();
    this.#onSynced(performance.now() - startedAt);
  }

  async close(): Promise<void> {
    await this.#file.close();
  }
}

async function syncPath(path: string): Promise<void> {
  const folder = await open(path, "r");
  try {
    await folder.sync();
  } finally {
    await folder.close();
  }
}

async function undefinedIfMissing<T>(
  result: Promise<T>,
): Promise<T | undefined> {
  try {
    return await result;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
    throw error;
  }
}
