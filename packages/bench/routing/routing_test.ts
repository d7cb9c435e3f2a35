/** Tests that the experiments are seeded and meet what they assert. */
import test from "ava";
import { CASES, USERS } from "./cases.ts";
import { runCase } from "./compare.ts";
import { computeJainIndex } from "./outcomes.ts";
import { runPoisonCase } from "./poison.ts";
import { ANVILRAIL_POLICY, LEAST_REPORTED_POLICY } from "./policy.ts";

const [SELAM, PALIVOKNIH] = USERS;
const WAVE = CASES.find((each) => each.name === "wave")!;
const HALF_LOST = CASES.find((each) => each.name === "half lost")!;

test("one seed gives one outcome, and every request ends once", (t) => {
  const options = { case: HALF_LOST, policy: ANVILRAIL_POLICY, seed: 5 };
  const runs = [0, 1].map(() => runCase(SELAM!, options).fleet.outcomes);
  t.is(runs[0]?.inTime, runs[1]?.inTime);
  t.deepEqual(runs[0]?.refusals, runs[1]?.refusals);
  const refused = [...runs[0]!.refusals.values()]
    .reduce((sum, count) => sum + count, 0);
  const { offered, complete, failed } = runs[0]!;
  t.is(offered, complete + failed + refused);
});

test("in the wave the top priority's first token comes at least twice as early as with least reported load", (t) => {
  const [anvilrail, leastReported] = [ANVILRAIL_POLICY, LEAST_REPORTED_POLICY]
    .map((policy) => {
      const { fleet } = runCase(SELAM!, { case: WAVE, policy, seed: 1 });
      const { outcomes } = fleet;
      t.true(
        outcomes.computeRetryAmplification() <= 1.1 ||
          policy !== ANVILRAIL_POLICY,
      );
      return outcomes.readFirstTokenTimes(outcomes.findTopPriority()).p95;
    });
  t.true(
    leastReported! >= 2 * anvilrail!,
    `${leastReported} ms and ${anvilrail} ms`,
  );
});

test("no request crashes more than two targets, wherever its caller sends it", (t) => {
  const options = { policy: ANVILRAIL_POLICY, seed: 1, count: 3 };
  const { crashes } = runPoisonCase(PALIVOKNIH!, options);
  t.is(crashes.length, 3);
  t.true(crashes.every((count) => count <= 2), String(crashes));
});

test("Jain's index is one for equal shares and falls to one in n", (t) => {
  t.is(computeJainIndex([3, 3, 3, 3]), 1);
  t.is(computeJainIndex([5, 0, 0, 0]), 0.25);
});
