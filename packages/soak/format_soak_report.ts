/** Formats the report of a soak run as text, with a plot over time. */
import type { Millis } from "../core/mod.ts";
import type { CallRecord } from "./guarantees.ts";
import type { SoakReport } from "./run_soak.ts";

/** Time that one column of the plot covers. */
const COLUMN_DURATION: Millis = 500;

/** Characters of the plot, from no calls to the maximum per column. */
const DENSITY_MARKS = " .:-=+*#%@";

/** Returns the text of a report: counts, violated guarantees and the plot. */
export function formatSoakReport(report: SoakReport): string {
  const { seed, vms, duration, faults, calls, guarantees, logs } = report;
  const kinds = new Map<string, number>();
  for (const { kind } of faults) kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
  const violated = guarantees.filter((each) => each.failures.length > 0);
  return [
    `seed ${seed}, ${vms} VMs, faults begin for ${duration} ms: ` +
    (violated.length === 0 ? "every guarantee held" : "GUARANTEES VIOLATED"),
    `faults: ${
      [...kinds].map(([kind, count]) => `${kind} ${count}`).join(", ")
    }`,
    `answers: ${formatStatuses(calls)}`,
    `streams taken up: ${
      formatStatuses(calls.filter((call) => call.isTakenUp))
    }`,
    ...guarantees.flatMap(({ guarantee, checked, failures }) => [
      `${guarantee}: checked ${checked}, failed ${failures.length}`,
      ...failures.slice(0, 5).map((failure) => `  ${failure}`),
    ]),
    ...formatPlot(calls),
    ...(logs === undefined ? [] : [`logs: ${logs}`]),
  ].join("\n");
}

function formatStatuses(calls: readonly CallRecord[]): string {
  const counts = new Map<number, number>();
  for (const { status } of calls) {
    counts.set(status, (counts.get(status) ?? 0) + 1);
  }
  return [...counts].sort(([left], [right]) => left - right)
    .map(([status, count]) => `${status === 0 ? "none" : status} ${count}`)
    .join(", ");
}

/** Returns a line for calls answered with 200 and one for all other calls. */
function formatPlot(calls: readonly CallRecord[]): string[] {
  const end = Math.max(0, ...calls.map((call) => call.endedAt));
  const columns = Math.ceil((end + 1) / COLUMN_DURATION);
  const served = Array<number>(columns).fill(0);
  const notServed = Array<number>(columns).fill(0);
  for (const call of calls) {
    const row = call.status === 200 ? served : notServed;
    row[Math.floor(call.endedAt / COLUMN_DURATION)]!++;
  }
  const maxCount = Math.max(1, ...served, ...notServed);
  const draw = (row: readonly number[]) =>
    row.map((count) =>
      DENSITY_MARKS[Math.ceil(count / maxCount * (DENSITY_MARKS.length - 1))]
    )
      .join("");
  return [
    `served  |${draw(served)}|`,
    `others  |${
      draw(notServed)
    }|  a column is ${COLUMN_DURATION} ms, @ is ${maxCount} calls`,
  ];
}
