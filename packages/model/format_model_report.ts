/** Formats the report of an exploration for the command line. */
import type { ModelReport } from "./specification.ts";

/**
 * Formats one report; a violation is followed by its trace, a step per line.
 */
export function formatModelReport(report: ModelReport): string {
  const extent = report.exhausted ? "exhausted" : "not exhausted";
  const head = `${report.model}: states=${report.states} ` +
    `transitions=${report.transitions} depth=${report.depth} ` +
    `time=${Math.round(report.millis)}ms ${extent}`;
  if (report.violation === undefined) return head;
  const { invariant, trace } = report.violation;
  const steps = trace.map((label, index) => `  ${index + 1}. ${label}`);
  return [head, `violated: ${invariant}`, ...steps].join("\n");
}
