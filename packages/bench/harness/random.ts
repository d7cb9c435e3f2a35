/** Seeded random numbers with the distributions that traffic has. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { computeHash, type RandomSource } from "../../core/mod.ts";

/** Draws numbers; the same seed gives the same numbers. */
export class SeededRandom {
  readonly #seed: number;
  /** Draws from [0, 1); pass it to decisions as their random source. */
  readonly uniform: RandomSource;

  constructor(seed: number) {
    this.#seed = seed;
    const generator = xoroshiro128plus(seed);
    this.uniform = () => uniformFloat64(generator);
  }

  /** Returns an independent source, so that one user's draws do not shift another's. */
  createBranch(name: string): SeededRandom {
    return new SeededRandom(computeHash(`${this.#seed}/${name}`) | 0);
  }

  /** Draws an integer from [low, high]. */
  drawInteger(low: number, high: number): number {
    return low + Math.floor(this.uniform() * (high - low + 1));
  }

  /** Draws from the exponential distribution with a mean. */
  drawExponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Draws from the lognormal distribution with a median and a spread. */
  drawLognormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.uniform());
    return median * Math.exp(sigma * normal);
  }

  /** Returns whether an event of this probability happens. */
  drawChance(probability: number): boolean {
    return this.uniform() < probability;
  }

  /** Chooses one item at random; the list must not be empty. */
  choose<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.uniform() * items.length)]!;
  }
}

/** Returns a function that chooses an item by its weight. */
export function createWeightedChoice<Item>(
  items: readonly Item[],
  computeWeight: (item: Item) => number,
): (random: SeededRandom) => Item {
  let total = 0;
  const cumulative = items.map((item) => total += computeWeight(item));
  return (random) =>
    items[findFirstAbove(cumulative, random.uniform() * total)]!;
}

/** Returns a weighted choice of 0 to `count - 1`, the first most often. */
export function createZipfChoice(
  count: number,
  exponent: number,
): (random: SeededRandom) => number {
  const indexes = Array.from({ length: count }, (_, index) => index);
  return createWeightedChoice(indexes, (index) => (index + 1) ** -exponent);
}

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
