/** Tests that each probe measures what it names, at its smallest size. */
import test from "ava";
import { SeededRandom } from "../harness/random.ts";
import { DECISION_PROBES, PROBE_SIZES } from "./decision_probes.ts";
import { measureCalls, QUICK_EFFORT } from "./measure_calls.ts";

for (const probe of DECISION_PROBES) {
  test(`${probe.name} runs again and again`, (t) => {
    const call = probe.prepare(
      PROBE_SIZES[probe.unit][0]!,
      new SeededRandom(1),
    );
    for (let count = 0; count < 200; count++) call();
    t.pass();
  });
}

test("allocations are counted", (t) => {
  const kept: unknown[] = [];
  const { bytes } = measureCalls(() => {
    kept[0] = new Array(100).fill(1.5);
  }, QUICK_EFFORT);
  t.true(bytes > 700 && bytes < 4_000, `${bytes} bytes`);
});
