import {
  EMPTY_REQUEST,
  type HeldItem,
  type HeldJob,
  requestCharacters,
} from "./types.ts";

/** A job with indices over its items. */
export class IndexedJob {
  readonly held: HeldJob;
  readonly items: Map<string, HeldItem>;
  readonly withResult: Set<string>;
  /** File with the requests of the items; undefined if they are in memory. */
  readonly file: string | undefined;
  /** Size of the requests in memory. */
  loadedCharacters: number;
  /** Tokens of the items that still wait for a result. */
  waitingTokens: number;

  constructor(held: HeldJob) {
    this.held = held;
    this.items = new Map(held.job.items.map((item) => [item.id, item]));
    this.withResult = new Set(held.results.map(({ item }) => item));
    this.file = held.job.items.find(({ stored }) => stored)?.stored?.file;
    this.loadedCharacters = requestCharacters(held.job.items);
    this.waitingTokens = this.#countWaitingTokens();
  }

  /** Whether nothing is left to run. */
  get isClosed(): boolean {
    return this.held.hasEnded || this.withResult.size === this.items.size;
  }

  #countWaitingTokens(): number {
    if (this.held.hasEnded) return 0;
    const waiting = [...this.items.values()]
      .filter(({ id }) => !this.withResult.has(id));
    return waiting.reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Drops the headers and body of an item, which only its run needs. */
  dropRequest(id: string): void {
    const { job } = this.held;
    const position = job.items.findIndex((item) => item.id === id);
    const item = job.items[position];
    if (!item) return;
    this.loadedCharacters -= requestCharacters([item]);
    const { tokens } = item;
    const stripped = { ...EMPTY_REQUEST, id, tokens };
    job.items[position] = stripped;
    this.items.set(id, stripped);
  }
}
