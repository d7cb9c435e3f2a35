/** Tests that routing experiments are deterministic and reach their goals. */
import test from "ava";
import { CASES, USERS } from "./cases.ts";
import { runCase } from "./compare.ts";
import { computeJainIndex } from "./outcomes.ts";
import { runPoisonCase } from "./poison.ts";
import { ANVILRAIL_POLICY, LEAST_REPORTED_POLICY } from "./policy.ts";

const [SELAM, PALIVOKNIH] = USERS;
const WAVE = CASES.find((each) => each.name === "wave")!;
const HALF_LOST = CASES.find((each) => each.name === "half lost")!;

test("runs with the same seed have the same outcomes, and every request ends once", (t) => {
  const options = { case: HALF_LOST, policy: ANVILRAIL_POLICY, seed: 5 };
  const runs = [0, 1].map(() => runCase(SELAM!, options).fleet.outcomes);
  t.is(runs[0]?.inTime, runs[1]?.inTime);
  t.deepEqual(runs[0]?.refusals, runs[1]?.refusals);
  const refused = [...runs[0]!.refusals.values()]
    .reduce((sum, count) => sum + count, 0);
  const { offered, complete, failed } = runs[0]!;
  t.is(offered, complete + failed + refused);
});

test("during a wave the p95 time to first token of the top priority is at most half of that of the least-reported-load policy", (t) => {
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

test("no poison request crashes more than two targets, whichever entry VM receives it", (t) => {
  const options = { policy: ANVILRAIL_POLICY, seed: 1, count: 3 };
  const { crashes } = runPoisonCase(PALIVOKNIH!, options);
  t.is(crashes.length, 3);
  t.true(crashes.every((count) => count <= 2), String(crashes));
});

test("Jain's index is 1 for equal shares and 1/n when one of n has everything", (t) => {
  t.is(computeJainIndex([3, 3, 3, 3]), 1);
  t.is(computeJainIndex([5, 0, 0, 0]), 0.25);
});
