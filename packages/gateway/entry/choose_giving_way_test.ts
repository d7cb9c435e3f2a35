/** Tests of who gives way when the memory of requests is used up. */
import test from "ava";
import { chooseGivingWay } from "./choose_giving_way.ts";

const MEBIBYTE = 1_048_576;

/** Holdings by name: MiB and seconds since the newest progress. */
const CASES: Record<string, {
  readonly holdings: Record<string, readonly [number, number]>;
  readonly needed: number;
  readonly chosen: readonly string[];
}> = {
  "nothing is held": { holdings: {}, needed: 1, chosen: [] },
  "ordinary requests never give way": {
    holdings: { old: [0.1, 60], older: [0.125, 90] },
    needed: 1,
    chosen: [],
  },
  "the one without progress goes before a larger one that makes progress": {
    holdings: { large: [4, 0], stalled: [2, 5] },
    needed: 1,
    chosen: ["stalled"],
  },
  "of those without progress the largest goes": {
    holdings: { small: [1, 10], large: [4, 10] },
    needed: 1,
    chosen: ["large"],
  },
  "of those with progress the largest goes": {
    holdings: { small: [1, 0], large: [4, 0] },
    needed: 1,
    chosen: ["large"],
  },
  "as many go as are needed": {
    holdings: { a: [4, 9], b: [4, 8], c: [4, 7], ordinary: [0.1, 99] },
    needed: 6,
    chosen: ["a", "b"],
  },
  "all go that can": {
    holdings: { a: [1, 9], b: [1, 8] },
    needed: 6,
    chosen: ["a", "b"],
  },
};

for (const [what, { holdings, needed, chosen }] of Object.entries(CASES)) {
  test(what, (t) => {
    const now = 100_000;
    const listed = Object.entries(holdings).map(([name, [size, age]]) => ({
      name,
      bytes: size * MEBIBYTE,
      progressAt: now - age * 1_000,
    }));
    const given = chooseGivingWay(listed, { bytes: needed * MEBIBYTE, now });
    t.deepEqual(given.map(({ name }) => name), chosen);
  });
}
