/** Seeded random numbers from the distributions that simulated traffic uses. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { computeHash, type RandomSource } from "../../core/mod.ts";

/** A deterministic random source: the same seed gives the same numbers. */
export class SeededRandom {
  readonly #seed: number;
  /**
   * Draws from [0, 1). Can be passed as the random source of production code.
   */
  readonly uniform: RandomSource;

  constructor(seed: number) {
    this.#seed = seed;
    const generator = xoroshiro128plus(seed);
    this.uniform = () => uniformFloat64(generator);
  }

  /**
   * Returns an independent source derived from the seed and the name, so that
   * draws of one component do not change those of another.
   */
  createBranch(name: string): SeededRandom {
    return new SeededRandom(computeHash(`${this.#seed}/${name}`) | 0);
  }

  /** Draws an integer uniformly from [low, high]. */
  drawInteger(low: number, high: number): number {
    return low + Math.floor(this.uniform() * (high - low + 1));
  }

  /** Draws from the exponential distribution with the given mean. */
  drawExponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /**
   * Draws from the lognormal distribution with the given median and the
   * standard deviation of the logarithm.
   */
  drawLognormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.uniform());
    return median * Math.exp(sigma * normal);
  }

  /** Returns true with the given probability. */
  drawChance(probability: number): boolean {
    return this.uniform() < probability;
  }

  /** Chooses an item uniformly; the list must not be empty. */
  choose<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.uniform() * items.length)]!;
  }
}

/**
 * Returns a function that chooses items with probability proportional to
 * weight.
 */
export function createWeightedChoice<Item>(
  items: readonly Item[],
  computeWeight: (item: Item) => number,
): (random: SeededRandom) => Item {
  let total = 0;
  const cumulative = items.map((item) => total += computeWeight(item));
  return (random) =>
    items[findFirstAbove(cumulative, random.uniform() * total)]!;
}

/**
 * Returns a function that draws a number below `count` by Zipf's law, 0 most
 * often.
 */
export function createZipfChoice(
  count: number,
  exponent: number,
): (random: SeededRandom) => number {
  const indexes = Array.from({ length: count }, (_, index) => index);
  return createWeightedChoice(indexes, (index) => (index + 1) ** -exponent);
}

/** Returns the index of the first number above a value, by binary search. */
function findFirstAbove(sorted: readonly number[], value: number): number {
  let low = 0;
  let high = sorted.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle]! > value) high = middle;
    else low = middle + 1;
  }
  return low;
}
