import { Buffer } from "node:buffer";
import { type SectionFile, SegmentStore } from "../consensus/mod.ts";
import {
  type BulkItem,
  bulkItemSchema,
  EMPTY_REQUEST,
  type FileRange,
  type HeldItem,
  type RequestLocation,
} from "./types.ts";

/** Length from which texts of results go to the next file, in bytes. */
const TEXT_FILE_BYTES = 4 * 1024 * 1024;

const TEXT_FILE_PREFIX = "texts-";

const requestSchema = bulkItemSchema.pick({
  path: true,
  headers: true,
  body: true,
});

/** A request was to be read after its job had ended. */
export class MissingRequestError extends Error {}

/**
 * Requests and texts of results in files. They take no memory, and are not
 * copied with each snapshot.
 *
 * The requests of a job have a file of their own, which is removed when the job
 * is closed. The texts of all jobs share files, which are removed when the last
 * job with a text in them is deleted.
 */
export class JobFiles {
  #store: SegmentStore;
  #requestBytes = 0;
  /** Number of texts by file. */
  #texts = new Map<string, number>();
  #textFile = 1;

  constructor(folder: string) {
    this.#store = new SegmentStore(folder);
  }

  /** Length of the files with requests, in bytes. */
  get requestBytes(): number {
    return this.#requestBytes;
  }

  /** Writes the requests of a job's items to a new file. */
  addRequests(
    job: string,
    file: string,
    items: readonly HeldItem[],
  ): HeldItem[] {
    const stored = items.map((item) => {
      const { id, tokens, path, headers, body } = item;
      const bytes = Buffer.from(JSON.stringify({ path, headers, body }));
      const offset = this.#store.append(file, bytes);
      const location = { job, file, offset, length: bytes.length };
      return { ...EMPTY_REQUEST, id, tokens, stored: location };
    });
    this.#requestBytes += this.#store.length(file);
    this.#store.flush();
    return stored;
  }

  /** @throws MissingRequestError if the file was removed */
  readRequest(location: RequestLocation): Omit<BulkItem, "id" | "tokens"> {
    const { file, offset, length } = location;
    const bytes = this.#store.read(file, offset, length);
    if (bytes.length < length) {
      throw new MissingRequestError(`job ${location.job} has ended`);
    }
    return requestSchema.parse(JSON.parse(bytes.toString("utf8")));
  }

  /** Removes the file of a job; returns its length in bytes. */
  removeRequests(file: string): number {
    const length = this.#store.length(file);
    this.#requestBytes -= length;
    this.#store.remove(file);
    return length;
  }

  /** Name of a file for requests that does not exist yet. */
  unusedName(): string {
    let number = 1;
    while (this.#store.length(`restored-${number}`) > 0) number += 1;
    return `restored-${number}`;
  }

  addText(text: string): FileRange {
    const bytes = Buffer.from(text);
    if (this.#store.length(this.#currentTextFile) > TEXT_FILE_BYTES) {
      this.#textFile += 1;
    }
    const file = this.#currentTextFile;
    const offset = this.#store.append(file, bytes);
    this.#store.flush();
    this.retainText(file);
    return { file, offset, length: bytes.length };
  }

  /** Counts a text of a restored job. */
  retainText(file: string): void {
    this.#texts.set(file, (this.#texts.get(file) ?? 0) + 1);
  }

  readText({ file, offset, length }: FileRange): string {
    return this.#store.read(file, offset, length).toString("utf8");
  }

  /** Removes a text; its file is removed with the last one. */
  removeText({ file }: FileRange): void {
    const count = (this.#texts.get(file) ?? 0) - 1;
    if (count > 0) {
      this.#texts.set(file, count);
      return;
    }
    this.#texts.delete(file);
    this.#store.remove(file);
    if (file === this.#currentTextFile) this.#textFile += 1;
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
    this.#texts.clear();
    const isText = ({ name }: SectionFile) => name.startsWith(TEXT_FILE_PREFIX);
    const numbers = files.filter(isText)
      .map(({ name }) => Number(name.slice(TEXT_FILE_PREFIX.length)));
    this.#textFile = Math.max(0, ...numbers) + 1;
    this.#requestBytes = files.filter((file) => !isText(file))
      .reduce((sum, { length }) => sum + length, 0);
  }

  get #currentTextFile(): string {
    return `${TEXT_FILE_PREFIX}${this.#textFile}`;
  }
}
