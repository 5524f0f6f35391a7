import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";
import { z } from "zod";
import { type IJsonRange, jsonElements, parseJson } from "../common/mod.ts";
import { CorruptionError } from "./corruption_error.ts";
import { type Entry, entrySchema } from "./entry.ts";
import { HeldEntries, type IRecordLocation } from "./held_entries.ts";
import type { IStorage, IStorageFile } from "./storage.ts";

/** Folder of the segments below the data folder. */
const FOLDER = "log";

/** Length from which a segment is closed and a new one started, in bytes. */
const SEGMENT_BYTES = 4 * 1024 * 1024;

/** First bytes of every frame. */
const FRAME_MAGIC = 0xf16b0a0d;

/** Magic, payload length and checksum, each of four bytes. */
const HEADER_BYTES = 12;

/** Size up to which recovered entries stay in memory, in characters. */
const RECOVERED_CHARACTERS = 8 * 1024 * 1024;

/** Record that the log continues after an index that a snapshot covers. */
const baseRecordSchema = z.object({
  base: z.object({ index: z.number(), term: z.number() }),
});
const recordSchema = z.union([entrySchema, baseRecordSchema]);

/** Content of the segments after a restart. */
export interface IRecoveredLog {
  /** Entries that follow the snapshot. */
  readonly entries: HeldEntries;
  /** Term of the entry at the snapshot's index; undefined if it is removed. */
  readonly coveredTerm: number | undefined;
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
   * @param snapshotIndex index up to which a snapshot covers the log; 0 if
   * there is none.
   * @throws CorruptionError when anything else is unreadable, or entries after
   * the snapshot are missing.
   */
  async recover(snapshotIndex: number): Promise<IRecoveredLog> {
    const replay = new Replay(snapshotIndex);
    const names = (await this.#storage.list(FOLDER))
      .filter((name) => name.endsWith(".wal"));
    let truncatedBytes = 0;
    for (const [position, name] of names.entries()) {
      const bytes = await this.#storage.read(name) ?? Buffer.alloc(0);
      const isLast = position === names.length - 1;
      const sequence = Number(name.slice(FOLDER.length + 1, -".wal".length));
      const expected = (this.#segments.at(-1)?.sequence ?? sequence - 1) + 1;
      if (sequence !== expected) {
        throw new CorruptionError(`${segmentName(expected)} is missing`);
      }
      const segment = { sequence, highestIndex: 0, length: 0 };
      for (const frame of readFrames(name, bytes, isLast)) {
        const highest = replay.add(sequence, bytes, frame);
        segment.highestIndex = Math.max(segment.highestIndex, highest);
        segment.length = frame.end;
      }
      if (segment.length < bytes.length) {
        await this.#storage.truncate(name, segment.length);
        truncatedBytes += bytes.length - segment.length;
      }
      this.#segments.push(segment);
    }
    const { entries, coveredTerm } = replay;
    return { entries, coveredTerm, truncatedBytes };
  }

  /**
   * Appends encoded entries as one frame and syncs it. Resolves with where the
   * entries are.
   */
  async append(
    records: readonly string[],
    highestIndex: number,
  ): Promise<IRecordLocation[]> {
    const segment = await this.#activeSegment();
    const { bytes, ranges } = encodeFrame(records);
    await this.#file?.append(bytes);
    await this.#file?.sync();
    const locations = ranges.map(({ start, end }) => ({
      segment: segment.sequence,
      offset: segment.length + start,
      length: end - start,
      checksum: crc32(bytes.subarray(start, end)),
    }));
    segment.length += bytes.length;
    segment.highestIndex = Math.max(segment.highestIndex, highestIndex);
    return locations;
  }

  /**
   * Reads entries that are in one segment, in order.
   *
   * @throws CorruptionError when the bytes are not those that were written.
   */
  async read(locations: readonly IRecordLocation[]): Promise<Entry[]> {
    const [first] = locations;
    const last = locations.at(-1);
    if (!first || !last) return [];
    const name = segmentName(first.segment);
    const length = last.offset + last.length - first.offset;
    const bytes = await this.#storage.readPart(name, first.offset, length);
    return locations.map(({ offset, length, checksum }) => {
      const start = offset - first.offset;
      const record = bytes.subarray(start, start + length);
      if (record.length < length || crc32(record) !== checksum) {
        throw new CorruptionError(`${name}: invalid record at byte ${offset}`);
      }
      return entrySchema.parse(
        parseJson(bytes, { start, end: start + length }),
      );
    });
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

  /**
   * Removes bytes behind the last synced frame. After a failed sync they may be
   * read although they are not on disk, and no later sync would write them.
   */
  async discardUnsynced(): Promise<void> {
    const last = this.#segments.at(-1);
    if (!last) return;
    const name = segmentName(last.sequence);
    const size = await this.#storage.size(name) ?? 0;
    if (size > last.length) await this.#storage.truncate(name, last.length);
  }

  async close(): Promise<void> {
    const file = this.#file;
    this.#file = undefined;
    await file?.close();
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

/**
 * Entries after a snapshot that remain after later frames replaced earlier
 * ones.
 *
 * Segments are removed once a snapshot covers all entries in them. The oldest
 * one that is left may therefore begin with entries that a later frame replaces
 * from an index on that only a removed segment contained.
 */
class Replay {
  readonly entries = new HeldEntries(RECOVERED_CHARACTERS);
  coveredTerm: number | undefined;
  #snapshotIndex: number;
  /** Index after the last record; no gap may follow it. */
  #nextIndex: number;

  constructor(snapshotIndex: number) {
    this.#snapshotIndex = snapshotIndex;
    this.#nextIndex = snapshotIndex + 1;
  }

  /** Adds the records of a frame and returns their highest index. */
  add(segment: number, bytes: Buffer, frame: IJsonRange): number {
    const name = segmentName(segment);
    let highest = 0;
    for (const range of jsonElements(bytes, frame.start)) {
      const { start, end } = range;
      const record = recordSchema.safeParse(parseJson(bytes, range));
      if (!record.success) {
        throw new CorruptionError(`${name}: ${record.error.message}`);
      }
      const { data } = record;
      const index = "base" in data ? data.base.index : data.index;
      highest = Math.max(highest, index);
      if ("base" in data) {
        this.#addBase(data.base, name);
      } else {
        this.#addEntry(data, {
          ...{ segment, offset: start, length: end - start },
          checksum: crc32(bytes.subarray(start, end)),
        });
      }
    }
    return highest;
  }

  #addBase(base: { index: number; term: number }, name: string): void {
    if (base.index > this.#snapshotIndex) {
      throw new CorruptionError(
        `${name}: the snapshot at ${base.index} is missing`,
      );
    }
    this.#continueAfter(base);
  }

  #addEntry(entry: Entry, location: IRecordLocation): void {
    if (entry.index > this.#nextIndex) {
      const name = segmentName(location.segment);
      throw new CorruptionError(
        `${name}: entries ${this.#nextIndex} to ${entry.index - 1} are missing`,
      );
    }
    this.#continueAfter(entry);
    if (entry.index > this.#snapshotIndex) {
      this.entries.push(entry, location.length, location);
    }
  }

  /** Drops the entries from an index on, which a record there replaces. */
  #continueAfter({ index, term }: { index: number; term: number }): void {
    this.entries.truncate(Math.max(0, index - this.#snapshotIndex - 1));
    if (index <= this.#snapshotIndex) {
      this.coveredTerm = index === this.#snapshotIndex ? term : undefined;
    }
    this.#nextIndex = index + 1;
  }
}

function segmentName(sequence: number): string {
  return `${FOLDER}/${`${sequence}`.padStart(12, "0")}.wal`;
}

/** Encodes records as one frame; the ranges are those of the records. */
function encodeFrame(records: readonly string[]) {
  const lengths = records.map((record) => Buffer.byteLength(record));
  const payloadLength = lengths.reduce((sum, length) => sum + length + 1, 1);
  const bytes = Buffer.allocUnsafe(HEADER_BYTES + payloadLength);
  const ranges: IJsonRange[] = [];
  let position = HEADER_BYTES;
  records.forEach((record, number) => {
    bytes.write(number === 0 ? "[" : ",", position);
    const start = position + 1;
    position = start + bytes.write(record, start);
    ranges.push({ start, end: position });
  });
  bytes.write("]", position);
  const payload = bytes.subarray(HEADER_BYTES);
  bytes.writeUInt32LE(FRAME_MAGIC, 0);
  bytes.writeUInt32LE(payload.length, 4);
  bytes.writeUInt32LE(crc32(payload, payload.length), 8);
  return { bytes, ranges };
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

/** Yields where the payloads of the frames of a segment are. */
function* readFrames(
  name: string,
  bytes: Buffer,
  isLast: boolean,
): Generator<IJsonRange> {
  let offset = 0;
  while (offset < bytes.length) {
    const payload = readFrame(bytes, offset);
    if (!payload) break;
    const start = offset + HEADER_BYTES;
    offset = start + payload.length;
    yield { start, end: offset };
  }
  if (offset < bytes.length && (!isLast || hasFrameAfter(bytes, offset))) {
    throw new CorruptionError(`${name}: invalid frame at byte ${offset}`);
  }
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
