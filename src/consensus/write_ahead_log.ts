import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";
import { z } from "zod";
import { CorruptionError } from "./corruption_error.ts";
import { type Entry, entrySchema } from "./entry.ts";
import type { IStorage, IStorageFile } from "./storage.ts";

/** Folder of the segments below the data folder. */
const FOLDER = "log";

/** Length from which a segment is closed and a new one started, in bytes. */
const SEGMENT_BYTES = 4 * 1024 * 1024;

/** First bytes of every frame. */
const FRAME_MAGIC = 0xf16b0a0d;

/** Magic, payload length and checksum, each of four bytes. */
const HEADER_BYTES = 12;

/** Record that the log continues after an index that a snapshot covers. */
const baseRecordSchema = z.object({
  base: z.object({ index: z.number(), term: z.number() }),
});
const recordSchema = z.union([entrySchema, baseRecordSchema]);

/** Content of the segments after a restart. */
export interface IRecoveredLog {
  /** Position before the first entry, when a snapshot was installed. */
  readonly base: { index: number; term: number } | undefined;
  readonly entries: Entry[];
  /** Length of an incomplete write that was truncated, in bytes. */
  readonly truncatedBytes: number;
}

interface ISegment {
  readonly sequence: number;
  highestIndex: number;
  length: number;
}

/**
 * Log in segment files, with one checksummed frame for each group commit.
 *
 * A frame that starts at an earlier index replaces all entries from that index
 * on, so segments are only ever appended to. Each frame is synced before the
 * next one is written; a crash can therefore leave only the last frame
 * incomplete. Any other unreadable frame is reported as corruption.
 */
export class WriteAheadLog {
  #storage: IStorage;
  #segmentBytes: number;
  #segments: ISegment[] = [];
  #file: IStorageFile | undefined;

  constructor(storage: IStorage, options: { segmentBytes?: number } = {}) {
    this.#storage = storage;
    this.#segmentBytes = options.segmentBytes ?? SEGMENT_BYTES;
  }

  /** Number of segment files. */
  get segmentCount(): number {
    return this.#segments.length;
  }

  /**
   * Reads the segments and truncates an incomplete write at the end.
   *
   * @throws CorruptionError when anything else is unreadable.
   */
  async recover(): Promise<IRecoveredLog> {
    const replay = new Replay();
    const names = (await this.#storage.list(FOLDER))
      .filter((name) => name.endsWith(".wal"));
    let truncatedBytes = 0;
    for (const [position, name] of names.entries()) {
      const bytes = await this.#storage.read(name) ?? Buffer.alloc(0);
      const isLast = position === names.length - 1;
      const { frames, length } = splitFrames(name, bytes, isLast);
      const sequence = Number(name.slice(FOLDER.length + 1, -".wal".length));
      const expected = (this.#segments.at(-1)?.sequence ?? sequence - 1) + 1;
      if (sequence !== expected) {
        throw new CorruptionError(`${segmentName(expected)} is missing`);
      }
      const segment = { sequence, highestIndex: 0, length };
      for (const frame of frames) {
        const highest = replay.add(name, frame);
        segment.highestIndex = Math.max(segment.highestIndex, highest);
      }
      if (length < bytes.length) {
        await this.#storage.truncate(name, length);
        truncatedBytes += bytes.length - length;
      }
      this.#segments.push(segment);
    }
    return {
      base: replay.base,
      entries: replay.entries,
      truncatedBytes,
    };
  }

  /** Appends encoded entries as one frame and syncs it. */
  async append(records: readonly string[], highestIndex: number) {
    const segment = await this.#activeSegment();
    const bytes = encodeFrame(records);
    await this.#file?.append(bytes);
    await this.#file?.sync();
    segment.length += bytes.length;
    segment.highestIndex = Math.max(segment.highestIndex, highestIndex);
  }

  /** Makes the log continue after an index that a snapshot covers. */
  async restartAfter(index: number, term: number): Promise<void> {
    await this.append([JSON.stringify({ base: { index, term } })], index);
  }

  /** Removes the oldest segments that contain no entry after the index. */
  async removeThrough(index: number): Promise<void> {
    while (this.#segments.length > 1) {
      const [oldest] = this.#segments;
      if (!oldest || oldest.highestIndex > index) return;
      await this.#storage.remove(segmentName(oldest.sequence));
      this.#segments.shift();
    }
  }

  async close(): Promise<void> {
    await this.#file?.close();
    this.#file = undefined;
  }

  async #activeSegment(): Promise<ISegment> {
    const last = this.#segments.at(-1);
    if (last && last.length < this.#segmentBytes) {
      this.#file ??= await this.#storage.open(segmentName(last.sequence));
      return last;
    }
    await this.close();
    const sequence = (last?.sequence ?? 0) + 1;
    this.#file = await this.#storage.open(segmentName(sequence));
    const segment = { sequence, highestIndex: 0, length: 0 };
    this.#segments.push(segment);
    return segment;
  }
}

/** Entries that remain after later frames replaced earlier ones. */
class Replay {
  base: { index: number; term: number } | undefined;
  entries: Entry[] = [];

  /** Adds the records of a frame and returns their highest index. */
  add(name: string, payload: string): number {
    const records = z.array(recordSchema).safeParse(JSON.parse(payload));
    if (!records.success) {
      throw new CorruptionError(`${name}: ${records.error.message}`);
    }
    let highest = 0;
    for (const record of records.data) {
      const index = "base" in record ? record.base.index : record.index;
      highest = Math.max(highest, index);
      if ("base" in record) {
        this.base = record.base;
        this.entries = [];
      } else {
        this.#addEntry(name, record);
      }
    }
    return highest;
  }

  #addEntry(name: string, entry: Entry): void {
    const first = this.entries[0]?.index ?? this.#firstIndex(entry);
    const position = entry.index - first;
    if (position > this.entries.length || position < 0) {
      throw new CorruptionError(
        `${name}: entry ${entry.index} is out of order`,
      );
    }
    this.entries.length = position;
    this.entries.push(entry);
  }

  #firstIndex(entry: Entry): number {
    return this.base ? this.base.index + 1 : entry.index;
  }
}

function segmentName(sequence: number): string {
  return `${FOLDER}/${`${sequence}`.padStart(12, "0")}.wal`;
}

function encodeFrame(records: readonly string[]): Buffer {
  const payload = Buffer.from(`[${records.join(",")}]`, "utf8");
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32LE(FRAME_MAGIC, 0);
  header.writeUInt32LE(payload.length, 4);
  header.writeUInt32LE(crc32(payload, payload.length), 8);
  return Buffer.concat([header, payload]);
}

/** Returns the payload of the frame at an offset, if the frame is valid. */
function readFrame(bytes: Buffer, offset: number): Buffer | undefined {
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  if (bytes.readUInt32LE(offset) !== FRAME_MAGIC) return undefined;
  const length = bytes.readUInt32LE(offset + 4);
  const start = offset + HEADER_BYTES;
  if (start + length > bytes.length) return undefined;
  const payload = bytes.subarray(start, start + length);
  const checksum = bytes.readUInt32LE(offset + 8);
  return crc32(payload, length) === checksum ? payload : undefined;
}

function splitFrames(
  name: string,
  bytes: Buffer,
  isLast: boolean,
): { frames: string[]; length: number } {
  const frames: string[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const payload = readFrame(bytes, offset);
    if (!payload) break;
    frames.push(payload.toString("utf8"));
    offset += HEADER_BYTES + payload.length;
  }
  if (offset < bytes.length && (!isLast || hasFrameAfter(bytes, offset))) {
    throw new CorruptionError(`${name}: invalid frame at byte ${offset}`);
  }
  return { frames, length: offset };
}

/**
 * Whether a valid frame follows. If so, the frame before it had been synced,
 * and a crash cannot be the reason that it is invalid.
 */
function hasFrameAfter(bytes: Buffer, offset: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32LE(FRAME_MAGIC);
  let next = bytes.indexOf(magic, offset + 1);
  while (next !== -1) {
    if (readFrame(bytes, next)) return true;
    next = bytes.indexOf(magic, next + 1);
  }
  return false;
}
