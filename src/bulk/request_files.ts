import { Buffer } from "node:buffer";
import { type SectionFile, SegmentStore } from "../consensus/mod.ts";
import {
  type BulkItem,
  bulkItemSchema,
  EMPTY_REQUEST,
  type HeldItem,
  type RequestLocation,
} from "./types.ts";

const requestSchema = bulkItemSchema.pick({
  path: true,
  headers: true,
  body: true,
});

/**
 * Requests of items in files, one file for each job. They take no memory while
 * the items wait, and are not copied with each snapshot.
 */
export class RequestFiles {
  #store: SegmentStore;

  constructor(folder: string) {
    this.#store = new SegmentStore(folder);
  }

  /** Length of all files together, in bytes. */
  get bytes(): number {
    return this.#store.bytes;
  }

  /** Writes the requests of a job's items to a new file. */
  add(job: string, file: string, items: readonly HeldItem[]): HeldItem[] {
    const stored = items.map((item) => {
      const { id, tokens, path, headers, body } = item;
      const bytes = Buffer.from(JSON.stringify({ path, headers, body }));
      const offset = this.#store.append(file, bytes);
      const location = { job, file, offset, length: bytes.length };
      return { ...EMPTY_REQUEST, id, tokens, stored: location };
    });
    this.#store.flush();
    return stored;
  }

  /** Reads a request; the file must not have been removed. */
  read(location: RequestLocation): Omit<BulkItem, "id" | "tokens"> {
    const { file, offset, length } = location;
    const bytes = this.#store.read(file, offset, length);
    return requestSchema.parse(JSON.parse(bytes.toString("utf8")));
  }

  remove(file: string): void {
    this.#store.remove(file);
  }

  /** Name of a file that does not exist yet. */
  unusedName(): string {
    let number = 1;
    while (this.#store.length(`restored-${number}`) > 0) number += 1;
    return `restored-${number}`;
  }

  /** Resolves with the files once they are durable. */
  async snapshot(): Promise<SectionFile[]> {
    const { files, synced } = this.#store.snapshot();
    await synced;
    return files;
  }

  /** Adopts the files of a snapshot and deletes all others. */
  restore(files: readonly SectionFile[]): void {
    this.#store.restore(files);
  }
}
