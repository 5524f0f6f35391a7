import {
  type RandomGenerator,
  unsafeUniformIntDistribution,
  xoroshiro128plus,
} from "pure-rand";

/** Seeded random generator for tests. */
export class TestRandom {
  #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from `minimum` to `maximum`, both inclusive. */
  integer(minimum: number, maximum: number): number {
    return unsafeUniformIntDistribution(minimum, maximum, this.#generator);
  }

  /** Returns true with the given probability in per cent. */
  chance(percent: number): boolean {
    return this.integer(1, 100) <= percent;
  }

  /** Returns one of the values. */
  pick<T>(values: readonly T[]): T {
    const value = values[this.integer(0, values.length - 1)];
    if (value === undefined) throw new RangeError("values are empty");
    return value;
  }
}
