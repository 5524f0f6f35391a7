import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { z } from "zod";
import { type InputFile, inputFileSchema } from "./messages.ts";
import type { SegmentStore } from "../consensus/mod.ts";

/** Age at which an unfinished upload is dropped, in milliseconds. */
export const UPLOAD_RETENTION_MILLISECONDS = 3_600_000;

/** Time for which a file that no job uses is kept, in milliseconds. */
export const UNUSED_FILE_RETENTION_MILLISECONDS = 24 * 3_600_000;

/** Bytes of a line's position (offset and length) in an input index. */
const POSITION_BYTES = 12;

const fileStateSchema = z.object({
  record: inputFileSchema,
  /** Number of jobs that need the file. */
  users: z.number(),
});
type FileState = z.infer<typeof fileStateSchema>;

/** Snapshot of the records of input files. */
export const inputFilesSnapshotSchema = z.object({
  files: z.array(fileStateSchema),
  /** Files that no job uses, with the time of removal, earliest first. */
  unused: z.array(z.object({ fileId: z.string(), dropAt: z.number() })),
  uploads: z.array(z.object({ fileId: z.string(), dropAt: z.number() })),
});

/** Input files. Their lines are in segment files, not in memory. */
export class InputFiles {
  #store: SegmentStore;
  #files = new Map<string, FileState>();
  /** Time of removal by file id, earliest first. */
  #unused = new Map<string, number>();
  /** Time of removal of unfinished uploads by file id, earliest first. */
  #uploads = new Map<string, number>();

  constructor(store: SegmentStore) {
    this.#store = store;
  }

  get(fileId: string): InputFile | undefined {
    return this.#files.get(fileId)?.record;
  }

  open(
    fields: { fileId: string; caller: string; name: string },
    now: number,
  ): InputFile {
    const existing = this.get(fields.fileId);
    if (existing) return { ...existing };
    const record: InputFile = {
      id: fields.fileId,
      caller: fields.caller,
      name: fields.name,
      state: "open",
      lines: 0,
      bytes: 0,
      createdAt: now,
      digest: "",
    };
    this.#files.set(record.id, { record, users: 0 });
    this.#uploads.set(record.id, now + UPLOAD_RETENTION_MILLISECONDS);
    return { ...record };
  }

  /** Appends lines unless they have already been appended. */
  append(file: InputFile, after: number, lines: readonly string[]): void {
    if (file.lines !== after) return;
    for (const line of lines) {
      const bytes = Buffer.from(`${line}\n`, "utf8");
      const offset = this.#store.append(linesName(file.id), bytes);
      const position = Buffer.alloc(POSITION_BYTES);
      position.writeDoubleLE(offset, 0);
      position.writeUInt32LE(bytes.length - 1, 8);
      this.#store.append(indexName(file.id), position);
      const hash = createHash("sha256").update(file.digest).update(bytes);
      file.digest = hash.digest("hex");
    }
    file.lines += lines.length;
    file.bytes = this.#store.length(linesName(file.id));
  }

  close(file: InputFile, now: number): void {
    if (file.state === "closed") return;
    file.state = "closed";
    this.#uploads.delete(file.id);
    this.#unused.set(file.id, now + UNUSED_FILE_RETENTION_MILLISECONDS);
  }

  /** Adds a job that needs the file. */
  retain(fileId: string): void {
    const file = this.#files.get(fileId);
    if (!file) return;
    file.users += 1;
    this.#unused.delete(fileId);
  }

  /** Removes a job that needed the file; an unused file is dropped later. */
  release(fileId: string, now: number): void {
    const file = this.#files.get(fileId);
    if (!file) return;
    file.users -= 1;
    if (file.users > 0) return;
    this.#unused.set(fileId, now + UNUSED_FILE_RETENTION_MILLISECONDS);
  }

  drop(fileId: string): void {
    this.#files.delete(fileId);
    this.#uploads.delete(fileId);
    this.#unused.delete(fileId);
    this.#store.remove(linesName(fileId));
    this.#store.remove(indexName(fileId));
  }

  /** Whether `sweep` would drop a file. */
  isSweepDue(now: number): boolean {
    const [unused] = this.#unused.values();
    const [upload] = this.#uploads.values();
    return Math.min(unused ?? Infinity, upload ?? Infinity) <= now;
  }

  /** Drops up to the given number of files whose retention has ended. */
  sweep(now: number, maximum: number): void {
    let left = maximum;
    for (const queue of [this.#uploads, this.#unused]) {
      for (const [fileId, dropAt] of queue) {
        if (dropAt > now || left === 0) break;
        this.drop(fileId);
        left -= 1;
      }
    }
  }

  /** Line of a file; empty when the file has been dropped. */
  line(fileId: string, index: number): string {
    const at = index * POSITION_BYTES;
    const position = this.#store.read(indexName(fileId), at, POSITION_BYTES);
    if (position.length < POSITION_BYTES) return "";
    const offset = position.readDoubleLE(0);
    const length = position.readUInt32LE(8);
    const bytes = this.#store.read(linesName(fileId), offset, length);
    return bytes.toString("utf8");
  }

  snapshot(): z.infer<typeof inputFilesSnapshotSchema> {
    const list = (queue: Map<string, number>) =>
      [...queue].map(([fileId, dropAt]) => ({ fileId, dropAt }));
    return {
      files: structuredClone([...this.#files.values()]),
      unused: list(this.#unused),
      uploads: list(this.#uploads),
    };
  }

  restore(snapshot: z.infer<typeof inputFilesSnapshotSchema>): void {
    this.#files = new Map(
      snapshot.files.map((file) => [file.record.id, file]),
    );
    const queue = (entries: { fileId: string; dropAt: number }[]) =>
      new Map(entries.map(({ fileId, dropAt }) => [fileId, dropAt]));
    this.#unused = queue(snapshot.unused);
    this.#uploads = queue(snapshot.uploads);
  }
}

function linesName(fileId: string): string {
  return `${fileId}.lines`;
}

function indexName(fileId: string): string {
  return `${fileId}.positions`;
}
