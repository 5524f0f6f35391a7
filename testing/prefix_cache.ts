import { createHash } from "node:crypto";

/** Number of prompt words in a cached block. */
const BLOCK_WORDS = 32;

/** LRU cache of prompt prefixes. */
export class PrefixCache {
  readonly changes: { kind: "stored" | "evicted"; prefix: string }[] = [];
  #capacity: number;
  #blocks = new Map<string, true>();

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Fraction of the capacity in use, 0 to 1. */
  get utilization(): number {
    return this.#blocks.size / this.#capacity;
  }

  /** Inserts a prompt; returns how many of its words were already cached. */
  insert(words: readonly string[]): number {
    const blocks = prefixBlocks(words);
    const missing = blocks.findIndex((block) => !this.#blocks.has(block));
    const cached = missing < 0 ? blocks.length : missing;
    for (const block of blocks) this.#store(block);
    return cached * BLOCK_WORDS;
  }

  #store(block: string): void {
    if (!this.#blocks.delete(block)) {
      this.changes.push({ kind: "stored", prefix: block });
    }
    this.#blocks.set(block, true);
    if (this.#blocks.size <= this.#capacity) return;
    const [oldest] = this.#blocks.keys();
    if (oldest === undefined) return;
    this.#blocks.delete(oldest);
    this.changes.push({ kind: "evicted", prefix: oldest });
  }
}

/** Returns a hash of each prefix that ends at a complete block. */
function prefixBlocks(words: readonly string[]): string[] {
  const hash = createHash("sha256");
  const blocks: string[] = [];
  for (let end = BLOCK_WORDS; end <= words.length; end += BLOCK_WORDS) {
    hash.update(words.slice(end - BLOCK_WORDS, end).join(" "));
    blocks.push(hash.copy().digest("hex").slice(0, 16));
  }
  return blocks;
}
