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
  #failed = false;
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

  /** Resolves when all changes so far are durable; never if the disk fails. */
  waitUntilDurable(): Promise<void> {
    return this.#writing;
  }

  #write(): void {
    const bytes = encodeChecksummed({
      term: this.#term,
      votedFor: this.#votedFor,
    });
    this.#writing = this.#writing.then(() => this.#replace(bytes));
  }

  async #replace(bytes: ReturnType<typeof encodeChecksummed>): Promise<void> {
    try {
      if (!this.#failed) await this.#storage.replace(FILE, bytes);
    } catch (error) {
      this.#failed = true;
      this.#failure.fire(error as Error);
    }
    if (this.#failed) await new Promise<never>(() => {});
  }
}
