/**
 * Builds the timeline of one request from the log lines of any number of VMs: the
 * events of the request, and events that show the state of its VMs meanwhile.
 */
import { type Millis, RefusalKind } from "../core/mod.ts";
import type { LogLine } from "./parse_line.ts";

/** Log lines about a request, in order of time. */
export interface RequestTimeline {
  /** Lines that name the request. */
  readonly requestEntries: readonly TimelineEntry[];
  /** Lines that show the state of the request's VMs before and during it. */
  readonly stateEntries: readonly TimelineEntry[];
}

/** One line of a timeline. */
export interface TimelineEntry {
  readonly time: number;
  readonly source: string;
  readonly text: string;
}

/** Events that change a VM's state or what it knows about VMs and targets. */
const VM_STATE_EVENTS: ReadonlySet<string> = new Set([
  "started",
  "drain_started",
  "stopped",
  "configuration_applied",
  "key_revoked",
  "target_leaving",
  "target_gone",
  "target_ejected",
  "target_back",
  "target_limited",
  "dependency_lost",
  "dependency_back",
  "grant_written_off",
  "life_judged",
  "standby_used",
  "loan_taken",
  "peer_silent",
  "settings_reloaded",
  "lines_left_out",
]);

/** Events whose effect lasts; the latest before the request are included. */
const LASTING_EVENTS: ReadonlySet<string> = new Set([
  "started",
  "configuration_applied",
  "dependency_lost",
  "dependency_back",
  "drain_started",
  "target_limited",
]);

/** Reason of a refusal that the limits of all targets of a VM explain. */
const TARGETS_LIMITED: string = RefusalKind.TargetsLimited;

/** How long before a request's first line a loan may have been made for it. */
const LOAN_WINDOW: Millis = 1_000;

/** Returns the timeline of a request; it is empty if no line names the request. */
export function findRequestTimeline(
  lines: readonly LogLine[],
  requestId: string,
): RequestTimeline {
  const requestLines = lines.filter((line) =>
    line.fields.get("request") === requestId
  )
    .sort(compareTime);
  const first = requestLines[0];
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) {
    return { requestEntries: [], stateEntries: [] };
  }
  const sources = new Set(requestLines.map((line) => line.source));
  const customers = collectValues(requestLines, "customer");
  const targets = collectValues(requestLines, "target");
  const isLimited = collectValues(requestLines, "reason").has(TARGETS_LIMITED);
  const related = lines.filter((line) => sources.has(line.source))
    .filter((line) => line.time <= last.time)
    .filter((line) => isRelatedState(line, { customers, targets, isLimited }));
  const during = [
    ...related.filter((line) => line.time >= first.time),
    ...lines.filter((line) => isLoanToSource(line, { sources, customers }))
      .filter((line) =>
        line.time >= first.time - LOAN_WINDOW && line.time <= last.time
      ),
  ];
  const latest = findLatestState(related, first.time);
  return {
    requestEntries: requestLines.map(createEntry),
    stateEntries: [...latest, ...during].sort(compareTime).map(createEntry),
  };
}

/**
 * Formats a timeline, one line per entry, with times relative to the request's
 * first line. `*` marks the lines that name the request.
 */
export function formatTimeline(timeline: RequestTimeline): string {
  const start = timeline.requestEntries[0]?.time ?? 0;
  const all = [
    ...timeline.stateEntries.map((entry) => ({ entry, mark: " " })),
    ...timeline.requestEntries.map((entry) => ({ entry, mark: "*" })),
  ].sort((left, right) => left.entry.time - right.entry.time);
  return all.map(({ entry, mark }) => {
    const after = `${entry.time - start} ms`.padStart(9);
    return `${mark}${after}  ${entry.source}  ${entry.text}`;
  }).join("\n");
}

function isRelatedState(
  line: LogLine,
  input: {
    readonly customers: ReadonlySet<string>;
    readonly targets: ReadonlySet<string>;
    readonly isLimited: boolean;
  },
): boolean {
  const customer = line.fields.get("customer");
  const target = line.fields.get("target");
  if (line.event === "grant_exchanged") {
    return customer !== undefined && input.customers.has(customer);
  }
  if (!VM_STATE_EVENTS.has(line.event)) return false;
  if (input.isLimited && line.event === "target_limited") return true;
  if (target !== undefined) return input.targets.has(target);
  return customer === undefined || input.customers.has(customer);
}

/** Returns whether a line reports a loan to one of the request's VMs. */
function isLoanToSource(
  line: LogLine,
  input: {
    readonly sources: ReadonlySet<string>;
    readonly customers: ReadonlySet<string>;
  },
): boolean {
  return line.event === "loan_made" &&
    input.sources.has(line.fields.get("borrower") ?? "") &&
    input.customers.has(line.fields.get("customer") ?? "");
}

/**
 * Returns the latest lasting events and grant exchanges before a time: for each
 * source, one per dependency, customer, target or, if it has none, event name.
 */
function findLatestState(lines: readonly LogLine[], before: number): LogLine[] {
  const latest = new Map<string, LogLine>();
  for (const line of [...lines].sort(compareTime)) {
    if (line.time >= before) break;
    const isGrant = line.event === "grant_exchanged";
    if (!isGrant && !LASTING_EVENTS.has(line.event)) continue;
    const subject = line.fields.get("dependency") ??
      line.fields.get("customer") ?? line.fields.get("target") ?? line.event;
    latest.set(`${line.source} ${subject}`, line);
  }
  return [...latest.values()];
}

function collectValues(
  lines: readonly LogLine[],
  key: string,
): ReadonlySet<string> {
  return new Set(
    lines.map((line) => line.fields.get(key)).filter((each) =>
      each !== undefined
    ),
  );
}

function createEntry(line: LogLine): TimelineEntry {
  const fields = [...line.fields]
    .filter(([key]) => key !== "request")
    .map(([key, value]) => `${key}=${value}`)
    .join(" ");
  return {
    time: line.time,
    source: line.source,
    text: `${line.event} ${fields}`.trim(),
  };
}

function compareTime(left: LogLine, right: LogLine): number {
  return left.time - right.time;
}
