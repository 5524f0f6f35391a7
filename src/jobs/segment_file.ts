import {
  closeSync,
  ftruncateSync,
  openSync,
  readSync,
  writeSync,
} from "node:fs";
import { fsync } from "node:fs";
import { promisify } from "node:util";
import { Buffer } from "node:buffer";
import type { IDisposable } from "../common/mod.ts";

const syncDescriptor = promisify(fsync);

/** Place of a line in a segment file. */
export interface ILinePosition {
  readonly offset: number;
  readonly length: number;
}

/** Append-only file of lines, durable up to the last `sync`. */
export class SegmentFile implements IDisposable {
  #descriptor: number;
  #length: number;

  /** Opens a file and cuts it to the given length. */
  constructor(path: string, length: number) {
    this.#descriptor = openSync(path, length === 0 ? "w+" : "r+");
    ftruncateSync(this.#descriptor, length);
    this.#length = length;
  }

  /** Length in bytes. */
  get length(): number {
    return this.#length;
  }

  /** Appends a line; it is durable after the next `sync`. */
  append(line: string): ILinePosition {
    const bytes = Buffer.from(`${line}\n`, "utf8");
    writeSync(this.#descriptor, bytes, 0, bytes.length, this.#length);
    const position = { offset: this.#length, length: bytes.length - 1 };
    this.#length += bytes.length;
    return position;
  }

  /** Reads a line. */
  read(position: ILinePosition): string {
    const bytes = Buffer.alloc(position.length);
    readSync(this.#descriptor, bytes, 0, position.length, position.offset);
    return bytes.toString("utf8");
  }

  /** Makes everything appended so far durable. */
  async sync(): Promise<void> {
    await syncDescriptor(this.#descriptor);
  }

  dispose(): void {
    closeSync(this.#descriptor);
  }
}
