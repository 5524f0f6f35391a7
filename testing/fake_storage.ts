import { Buffer } from "node:buffer";
import type { IClock } from "../src/common/mod.ts";
import type { IStorage, IStorageFile } from "../src/consensus/mod.ts";
import type { TestRandom } from "./test_random.ts";

interface IFile {
  bytes: Buffer;
  /** Number of bytes that survive a crash. */
  syncedSize: number;
  /** Bytes before which a sync has failed; they can be read until a crash. */
  lost?: { readonly start: number; readonly end: number };
}

const NEVER_SETTLED = new Promise<never>(() => {});

/** In-memory disk of an instance; a crash loses unsynced bytes. */
export class FakeDisk {
  files = new Map<string, IFile>();
  /** Whether every operation fails. */
  isFailing = false;
  /** Whether syncs fail; no later sync covers the bytes of a failed one. */
  isSyncFailing = false;
  /** Duration of a sync. */
  syncMilliseconds = 1;
  /** Bytes that can be written before the disk is full. */
  freeBytes = Number.POSITIVE_INFINITY;
  #random: TestRandom;

  constructor(random: TestRandom) {
    this.#random = random;
  }

  /** Loses unsynced bytes; a prefix of them may remain and be corrupt. */
  crash(): void {
    for (const [name, file] of this.files) {
      const lost = file.bytes.length - file.syncedSize;
      const kept = lost === 0 ? 0 : this.#random.integer(0, lost);
      const bytes = Buffer.from(
        file.bytes.subarray(0, file.syncedSize + kept),
      );
      if (file.lost) bytes.fill(0, file.lost.start, file.lost.end);
      if (kept > 0 && this.#random.chance(50)) {
        bytes[bytes.length - 1] = (bytes.at(-1) ?? 0) ^ 0x55;
      }
      this.files.set(name, { bytes, syncedSize: bytes.length });
    }
  }
}

/** Storage on a `FakeDisk`, used by one process of an instance. */
export class FakeStorage implements IStorage {
  /** Whether the process has ended; operations then never settle. */
  isEnded = false;
  #disk: FakeDisk;
  #clock: IClock;

  constructor(disk: FakeDisk, clock: IClock) {
    this.#disk = disk;
    this.#clock = clock;
  }

  async list(folder: string): Promise<string[]> {
    await this.#simulateOperation();
    const names = [...this.#disk.files.keys()];
    return names.filter((name) => name.startsWith(`${folder}/`)).sort();
  }

  async size(name: string): Promise<number | undefined> {
    await this.#simulateOperation();
    return this.#disk.files.get(name)?.bytes.length;
  }

  async read(name: string): Promise<Buffer | undefined> {
    await this.#simulateOperation();
    const bytes = this.#disk.files.get(name)?.bytes;
    return bytes && Buffer.from(bytes);
  }

  async readPart(name: string, offset: number, length: number) {
    await this.#simulateOperation();
    const bytes = this.#disk.files.get(name)?.bytes;
    if (!bytes) throw new Error(`ENOENT: no such file: ${name}`);
    return Buffer.from(bytes.subarray(offset, offset + length));
  }

  async open(name: string): Promise<IStorageFile> {
    await this.#simulateOperation();
    if (!this.#disk.files.has(name)) {
      this.#disk.files.set(name, { bytes: Buffer.alloc(0), syncedSize: 0 });
    }
    return {
      append: async (bytes) => {
        await this.#simulateOperation();
        this.append(name, bytes);
      },
      sync: () => this.sync(name),
      close: () => Promise.resolve(),
    };
  }

  /** Appends to a file synchronously, as state sections do. */
  append(name: string, bytes: Buffer): void {
    if (this.isEnded) return;
    const file = this.#disk.files.get(name) ??
      { bytes: Buffer.alloc(0), syncedSize: 0 };
    const fitting = Math.min(bytes.length, this.#disk.freeBytes);
    const written = bytes.subarray(0, fitting);
    this.#disk.freeBytes -= fitting;
    const whole = Buffer.concat([file.bytes, written]);
    this.#disk.files.set(name, { ...file, bytes: whole });
    if (fitting < bytes.length) throw diskError("ENOSPC");
  }

  async sync(name: string): Promise<void> {
    const length = this.#disk.files.get(name)?.bytes.length ?? 0;
    await this.#simulateOperation(this.#disk.syncMilliseconds);
    const file = this.#disk.files.get(name);
    if (!file) return;
    if (this.#disk.isSyncFailing) {
      file.lost = { start: file.lost?.start ?? file.syncedSize, end: length };
      throw diskError("EIO");
    }
    file.syncedSize = Math.max(file.syncedSize, length);
  }

  async replace(name: string, bytes: Buffer): Promise<void> {
    await this.#simulateOperation(this.#disk.syncMilliseconds);
    if (this.#disk.freeBytes < bytes.length) throw diskError("ENOSPC");
    this.#disk.files.set(name, { bytes, syncedSize: bytes.length });
  }

  async truncate(name: string, length: number): Promise<void> {
    await this.#simulateOperation();
    const file = this.#disk.files.get(name);
    if (!file) return;
    const bytes = file.bytes.subarray(0, length);
    const { lost } = file;
    this.#disk.files.set(name, {
      ...{ bytes, syncedSize: bytes.length },
      ...lost && lost.start < length && { lost },
    });
  }

  async rename(from: string, to: string): Promise<void> {
    await this.#simulateOperation();
    const file = this.#disk.files.get(from);
    if (!file) throw new Error(`ENOENT: no such file: ${from}`);
    this.#disk.files.delete(from);
    this.#disk.files.set(to, file);
  }

  async remove(name: string): Promise<void> {
    await this.#simulateOperation();
    this.#disk.files.delete(name);
  }

  async #simulateOperation(milliseconds = 0): Promise<void> {
    if (milliseconds > 0) {
      await this.#clock.sleepUntil(this.#clock.deadlineIn(milliseconds));
    }
    if (this.isEnded) await NEVER_SETTLED;
    if (this.#disk.isFailing) throw diskError("EIO");
  }
}

function diskError(code: string): Error {
  return Object.assign(new Error(`${code}: simulated failure`), { code });
}
