/** Tests that each benchmark can run and that allocations are measured. */
import test from "ava";
import { SeededRandom } from "../harness/random.ts";
import { BENCHMARK_SIZES, DECISION_BENCHMARKS } from "./decision_benchmarks.ts";
import { measureCalls, QUICK_EFFORT } from "./measure_calls.ts";

for (const benchmark of DECISION_BENCHMARKS) {
  test(`${benchmark.name} can be called repeatedly`, (t) => {
    const call = benchmark.prepare(
      BENCHMARK_SIZES[benchmark.unit][0]!,
      new SeededRandom(1),
    );
    for (let count = 0; count < 200; count++) call();
    t.pass();
  });
}

test("measured bytes include a call's allocations", (t) => {
  const kept: unknown[] = [];
  const { bytes } = measureCalls(() => {
    kept[0] = new Array(100).fill(1.5);
  }, QUICK_EFFORT);
  t.true(bytes > 700 && bytes < 4_000, `${bytes} bytes`);
});
