import { createHash } from "node:crypto";
import type { Engine } from "../configuration/mod.ts";

/**
 * Prompts shorter than this have no preferred engines, since their prefix is
 * not worth caching.
 */
const MINIMUM_PROMPT_CHARACTERS = 128;

/** Number of leading characters of a prompt that identify its prefix. */
const PREFIX_CHARACTERS = 512;

/** Number of preferred engines for each prefix. */
const PREFERRED_ENGINES = 2;

/** Maximum number of prefixes whose preferred engines are cached. */
const MAXIMUM_CACHED_PREFIXES = 1_000;

/**
 * Determines the preferred engines of a prompt's prefix by rendezvous hashing.
 *
 * All instances get the same result without any messages, and when engines are
 * added or removed, only prefixes that prefer these engines move.
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
