import {
  type RandomGenerator,
  unsafeUniformIntDistribution,
  xoroshiro128plus,
} from "pure-rand";

/** Random choices that are the same for the same seed. */
export class TestRandom {
  #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A whole number from `minimum` to `maximum`, both included. */
  integer(minimum: number, maximum: number): number {
    return unsafeUniformIntDistribution(minimum, maximum, this.#generator);
  }

  /** True with the given probability in per cent. */
  chance(percent: number): boolean {
    return this.integer(1, 100) <= percent;
  }

  /** One of the values. */
  pick<T>(values: readonly T[]): T {
    const value = values[this.integer(0, values.length - 1)];
    if (value === undefined) throw new RangeError("nothing to pick from");
    return value;
  }
}
