import { createHash } from "node:crypto";
import type { Engine } from "../configuration/mod.ts";

/** Characters of a prompt below which its prefix is not worth caching. */
const MINIMUM_PROMPT_CHARACTERS = 128;

/** Characters of a prompt that name its prefix. */
const PREFIX_CHARACTERS = 512;

/** Engines of which each prefix prefers the first ones. */
const PREFERRED_ENGINES = 2;

/** Prefixes whose preferred engines are remembered. */
const MAXIMUM_CACHED_PREFIXES = 1_000;

/**
 * Engines that a prompt's prefix prefers, by rendezvous hashing.
 *
 * All instances agree on them without a message, and a change of the engines
 * moves only the prefixes of the engines concerned.
 */
export class PrefixRanking {
  #cache = new Map<string, readonly string[]>();
  #engines: readonly Engine[] | undefined;

  /** Ids of the preferred engines; empty for a short prompt. */
  preferred(prompt: string, engines: readonly Engine[]): readonly string[] {
    if (prompt.length < MINIMUM_PROMPT_CHARACTERS) return [];
    if (this.#engines !== engines) this.#cache.clear();
    this.#engines = engines;
    const prefix = prompt.slice(0, PREFIX_CHARACTERS);
    const known = this.#cache.get(prefix);
    if (known) return known;
    const ranked = rank(prefix, engines);
    if (this.#cache.size >= MAXIMUM_CACHED_PREFIXES) {
      this.#cache.clear();
    }
    this.#cache.set(prefix, ranked);
    return ranked;
  }
}

function rank(prefix: string, engines: readonly Engine[]): readonly string[] {
  const seed = createHash("sha256").update(prefix).digest();
  return engines
    .map(({ id }) => ({
      id,
      weight: createHash("sha256").update(seed).update(id).digest("hex"),
    }))
    .sort((first, second) => first.weight < second.weight ? 1 : -1)
    .slice(0, PREFERRED_ENGINES)
    .map(({ id }) => id);
}
