/**
 * Structured logs: one line of key=value pairs for each event, on standard
 * output, through winston. The volume is bounded and a reader that stops
 * reading holds nothing up.
 */
import { createLogger, format, type Logger, transports } from "winston";
import { LineLimit, type LineLimits, LineRank } from "./line_limit.ts";
import {
  createDescriptorSink,
  createSinkStream,
  type LineSink,
} from "./line_sink.ts";

/** Names of all events that the daemon logs. */
export enum LogEvent {
  Started = "started",
  DrainStarted = "drain_started",
  DrainHurried = "drain_hurried",
  Stopped = "stopped",
  RequestEnded = "request_ended",
  RequestRefused = "request_refused",
  AttemptFailed = "attempt_failed",
  GrantExchanged = "grant_exchanged",
  LoanMade = "loan_made",
  LoanTaken = "loan_taken",
  PeerSilent = "peer_silent",
  StoreFailed = "store_failed",
  DutyTaken = "duty_taken",
  DutyLost = "duty_lost",
  OrderGiven = "order_given",
  BillsFlushed = "bills_flushed",
  BillsAdopted = "bills_adopted",
  ClaimUnfinished = "claim_unfinished",
  DocumentApplied = "document_applied",
  Replaced = "replaced_by_later_life",
  MemberChanged = "member_changed",
  ForwardFailed = "forward_failed",
  ProcessFailed = "process_failed",
  ConfigurationApplied = "configuration_applied",
  KeyRevoked = "key_revoked",
  TargetListed = "target_listed",
  TargetLeaving = "target_leaving",
  TargetGone = "target_gone",
  TargetEjected = "target_ejected",
  TargetBack = "target_back",
  TargetChosen = "target_chosen",
  AttemptRetried = "attempt_retried",
  StreamResumed = "stream_resumed",
  BudgetReserved = "budget_reserved",
  GrantWrittenOff = "grant_written_off",
  LifeJudged = "life_judged",
  StandbyUsed = "standby_used",
  BudgetShort = "budget_short",
  DependencyLost = "dependency_lost",
  DependencyBack = "dependency_back",
  RowDamaged = "row_damaged",
  SettingsReloaded = "settings_reloaded",
  SettingsRefused = "settings_refused",
  LinesLeftOut = "lines_left_out",
}

/** Values that a log line may carry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes events. */
export interface EventLog {
  info(event: LogEvent, fields?: LogFields): void;
  warn(event: LogEvent, fields?: LogFields): void;
  error(event: LogEvent, fields?: LogFields): void;
  /** Resolves when all lines so far were written. */
  flush(): Promise<void>;
}

/** How a log is written. */
export interface EventLogOptions {
  readonly level: string;
  /** Standard output if absent. */
  readonly sink?: LineSink;
  /** Most lines of one event in a second. */
  readonly limits?: LineLimits;
  /** Called with the number of lines that were left out. */
  readonly countDropped?: (lines: number) => void;
}

const STANDARD_OUTPUT = 1;

/** Room for a request's lines at the rate that one small VM serves. */
const USUAL_LIMITS: LineLimits = {
  [LineRank.Routine]: 200,
  [LineRank.Notable]: 400,
};

/** Events that come with each request that goes well. */
const ROUTINE_EVENTS: ReadonlySet<string> = new Set([
  LogEvent.TargetChosen,
  LogEvent.BudgetReserved,
  LogEvent.RequestEnded,
  LogEvent.GrantExchanged,
]);

function findRank(event: string): LineRank {
  return ROUTINE_EVENTS.has(event) ? LineRank.Routine : LineRank.Notable;
}

/** Returns a log that writes lines at or above a level. */
export function createEventLog(options: EventLogOptions): EventLog {
  const sink = options.sink ?? createDescriptorSink(STANDARD_OUTPUT);
  const logger = createLogger({
    level: options.level,
    format: format.printf((entry) =>
      `ts=${new Date().toISOString()} level=${entry.level} ${entry.message}`
    ),
    transports: [
      new transports.Stream({ stream: createSinkStream(sink), eol: "\n" }),
    ],
  });
  const limit = new LineLimit(options.limits ?? USUAL_LIMITS);
  return createLog(logger, { ...options, sink, limit });
}

/** Returns a log that drops every line, for tests. */
export function createSilentLog(): EventLog {
  const drop = () => {};
  return { info: drop, warn: drop, error: drop, flush: async () => {} };
}

function createLog(
  logger: Logger,
  options: EventLogOptions & {
    readonly sink: LineSink;
    readonly limit: LineLimit;
  },
): EventLog {
  const { sink, limit, countDropped: countLeftOut } = options;
  const write = (
    level: "info" | "warn" | "error",
    event: LogEvent,
    fields?: LogFields,
  ) => {
    const leftOut = limit.takeLeftOut(performance.now(), findRank);
    const unwritten = sink.takeLeftOut();
    if (unwritten > 0) leftOut.push({ event: "unwritten", lines: unwritten });
    for (const { event: kind, lines } of leftOut) {
      countLeftOut?.(lines);
      logger.warn(formatLine(LogEvent.LinesLeftOut, { kind, lines }));
    }
    if (!limit.admit(event, findRank(event))) return;
    logger.log(level, formatLine(event, fields));
  };
  return {
    info: (event, fields) => write("info", event, fields),
    warn: (event, fields) => write("warn", event, fields),
    error: (event, fields) => write("error", event, fields),
    flush: async () => {
      // Lines pass through the library in turns of the event loop.
      await new Promise((done) => setImmediate(done));
      await sink.waitEmpty();
    },
  };
}

/** Returns what a process calls with an error that ended one of its turns. */
export function createErrorReporter(
  log: EventLog,
  process: string,
): (error: unknown) => void {
  return (error) =>
    log.error(LogEvent.ProcessFailed, { process, reason: String(error) });
}

/** Formats one event as `event=NAME key=value ...`. */
export function formatLine(event: LogEvent, fields: LogFields = {}): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  return [`event=${event}`, ...pairs].join(" ");
}

function formatValue(value: string | number | boolean | undefined): string {
  const text = String(value);
  return /^[\w.:/@+-]+$/.test(text) ? text : JSON.stringify(text);
}
