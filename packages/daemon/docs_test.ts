/** The operators' documentation lists every log event and metric. */
import { readFileSync } from "node:fs";
import test from "ava";
import { createNodeMetrics, LogEvent } from "./mod.ts";

const PAGE = readFileSync("docs/METRICS.md", "utf8");

test("every log event is documented", (t) => {
  for (const event of Object.values(LogEvent)) {
    t.true(PAGE.includes(`\`${event}\``), event);
  }
});

test("every metric is documented", (t) => {
  for (const metric of createNodeMetrics().registry.getMetricsAsArray()) {
    t.true(PAGE.includes(`\`${metric.name}\``), metric.name);
  }
});
