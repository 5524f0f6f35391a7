import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import type { IRandom } from "./types.ts";

/** Pseudo-random numbers; the same seed gives the same numbers. */
export class SeededRandom implements IRandom {
  #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  below(bound: number): number {
    return unsafeUniformIntDistribution(0, bound - 1, this.#generator);
  }
}
