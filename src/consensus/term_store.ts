import { z } from "zod";
import { Emitter, invariant } from "../common/mod.ts";
import { encodeChecksummed, readChecksummed } from "./checksummed_document.ts";
import type { IStorage } from "./storage.ts";

/** File with the term and the vote, below the data folder. */
const FILE = "log/term.json";

const termSchema = z.object({
  term: z.number(),
  /** Storage identity of the candidate voted for in this term. */
  votedFor: z.string().optional(),
});

/**
 * The current term and the vote in it.
 *
 * Changes can be read at once, but no message that depends on them may be sent
 * before `waitUntilDurable` has resolved.
 */
export class TermStore {
  #storage: IStorage;
  #term: number;
  #votedFor: string | undefined;
  #writing: Promise<void> = Promise.resolve();
  /** Failure after which nothing is written. */
  #error: Error | undefined;
  readonly #failure = new Emitter<Error>();
  /** Fires once, when the disk fails. */
  readonly onFailure = this.#failure.event;

  private constructor(storage: IStorage, saved: z.infer<typeof termSchema>) {
    this.#storage = storage;
    this.#term = saved.term;
    this.#votedFor = saved.votedFor;
  }

  /** Reads the stored term, 0 if there is none. */
  static async open(storage: IStorage): Promise<TermStore> {
    const saved = await readChecksummed(storage, FILE, termSchema);
    return new TermStore(storage, saved ?? { term: 0 });
  }

  /**
   * Writes the stored term once more. After a failed write, what is read may
   * not be on disk.
   */
  static async rewrite(storage: IStorage): Promise<void> {
    const bytes = await storage.read(FILE);
    if (bytes) await storage.replace(FILE, bytes);
  }

  /** Writes nothing more, and waits for the write in progress. */
  async close(): Promise<void> {
    this.#error ??= new Error("the replica has stopped");
    await this.#writing.catch(() => {});
  }

  get term(): number {
    return this.#term;
  }

  get votedFor(): string | undefined {
    return this.#votedFor;
  }

  /** Enters a later term, with or without a vote. */
  enter(term: number, votedFor?: string): void {
    invariant(term > this.#term, "the term only increases");
    this.#term = term;
    this.#votedFor = votedFor;
    this.#write();
  }

  /** Records the vote in the current term. */
  recordVote(candidate: string): void {
    invariant(
      this.#votedFor === undefined || this.#votedFor === candidate,
      "at most one vote is granted in a term",
    );
    if (this.#votedFor === candidate) return;
    this.#votedFor = candidate;
    this.#write();
  }

  /** Resolves when all changes so far are durable; rejects if the disk fails. */
  waitUntilDurable(): Promise<void> {
    return this.#writing;
  }

  #write(): void {
    const bytes = encodeChecksummed({
      term: this.#term,
      votedFor: this.#votedFor,
    });
    this.#writing = this.#writing.then(() => this.#replace(bytes));
    // Those that wait see the failure; there may be none.
    this.#writing.catch(() => {});
  }

  async #replace(bytes: ReturnType<typeof encodeChecksummed>): Promise<void> {
    if (this.#error) throw this.#error;
    try {
      await this.#storage.replace(FILE, bytes);
    } catch (error) {
      this.#error = error as Error;
      this.#failure.fire(this.#error);
      throw error;
    }
  }
}
