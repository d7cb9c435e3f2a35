/**
 * Structured logging with winston: one line of key=value pairs for each event,
 * on standard output. The number of lines is limited, and a reader of the
 * output that stops reading does not block the process.
 */
import { createLogger, format, type Logger, transports } from "winston";
import {
  LineCategory,
  LineRateLimiter,
  type LineRateLimits,
} from "./line_rate_limiter.ts";
import {
  createDescriptorSink,
  createSinkStream,
  type LineSink,
} from "./line_sink.ts";

/** Names of all events that the daemon and the gateway log. */
export enum LogEvent {
  Started = "started",
  DrainStarted = "drain_started",
  /** A planned stop was forced to end before its work was complete. */
  DrainHurried = "drain_hurried",
  Stopped = "stopped",
  RequestEnded = "request_ended",
  RequestRefused = "request_refused",
  /** A caller was cut off to protect the VM. */
  CallerClosed = "caller_closed",
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
  /** This VM writes the bills of another VM that it held copies of. */
  BillsAdopted = "bills_adopted",
  /** The end of a claimed request was not durable in time; writing goes on. */
  ClaimUnfinished = "claim_unfinished",
  DocumentApplied = "document_applied",
  /** A later incarnation of this VM runs elsewhere, so this process stops. */
  Replaced = "replaced_by_later_life",
  MemberChanged = "member_changed",
  ForwardFailed = "forward_failed",
  ProcessFailed = "process_failed",
  ConfigurationApplied = "configuration_applied",
  /** Versions that must be in use by now may be missing. */
  ConfigurationStale = "configuration_stale",
  /** The store answers, but nothing confirms the configuration. */
  ConfigurationBehind = "configuration_behind",
  ConfigurationOutdated = "configuration_outdated",
  ConfigurationCurrent = "configuration_current",
  /** Calls between VMs for the configuration since the last such line. */
  ConfigurationTraffic = "configuration_traffic",
  KeyRevoked = "key_revoked",
  /** Requests are refused, since their home regions allow no region at all. */
  HomeRegionsUnusable = "home_regions_unusable",
  /** Nothing is sent to the targets of a data centre from now on. */
  EvacuationStarted = "evacuation_started",
  EvacuationEnded = "evacuation_ended",
  /** A restored store lacks an evacuation, which stays in effect for a while. */
  EvacuationKept = "evacuation_kept",
  /** There is no data centre of the name that is to be evacuated. */
  EvacuationUnknown = "evacuation_unknown",
  /** The store answers, but the evacuations could not be read in time. */
  EvacuationsOutdated = "evacuations_outdated",
  TargetListed = "target_listed",
  TargetLeaving = "target_leaving",
  TargetGone = "target_gone",
  TargetEjected = "target_ejected",
  TargetLimited = "target_limited",
  /** A target has asked this VM to send it nothing for a while. */
  TargetPaused = "target_paused",
  /** A target tolerates few requests for a while, or not any more. */
  TargetCold = "target_cold",
  TargetWarm = "target_warm",
  TargetBack = "target_back",
  /** A peer reaches a target that this VM does not; it relays from now on. */
  PathLost = "path_lost",
  PathBack = "path_back",
  /** Lost connections were found to be a crash of their target. */
  TargetCrashed = "target_crashed",
  /** Requests that hold all of these prompt parts are refused from now on. */
  PartsQuarantined = "parts_quarantined",
  PartsReleased = "parts_released",
  TargetChosen = "target_chosen",
  AttemptRetried = "attempt_retried",
  StreamResumed = "stream_resumed",
  /** A caller takes up a stream that an earlier request of it began. */
  StreamTakenUp = "stream_taken_up",
  BudgetReserved = "budget_reserved",
  /** Grants of an earlier incarnation were written off or freed. */
  GrantWrittenOff = "grant_written_off",
  /**
   * At its start, a VM evaluated the presence row of its earlier incarnation.
   */
  LifeJudged = "life_judged",
  /** Standby tokens were unlocked because the store is unavailable. */
  StandbyUsed = "standby_used",
  /** This VM holds a customer's tokens ahead of need from now on, or not. */
  HolderChanged = "holder_changed",
  /** A request was refused because its budget does not cover it. */
  BudgetShort = "budget_short",
  /** Calls to the store since the last such line, by table and kind. */
  StoreTraffic = "store_traffic",
  DependencyLost = "dependency_lost",
  DependencyBack = "dependency_back",
  /** The store came back from a copy and has lost its newest writes. */
  StoreRestored = "store_restored",
  /** What this VM knew of a budget is in the row of a restored store again. */
  BudgetRestored = "budget_restored",
  /** A row of the store could not be decoded. */
  RowDamaged = "row_damaged",
  SettingsReloaded = "settings_reloaded",
  SettingsRefused = "settings_refused",
  /** Log lines were dropped because of a limit or a slow reader. */
  LinesLeftOut = "lines_left_out",
}

/** Values that a log line may carry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Logs events at a level. */
export interface EventLog {
  info(event: LogEvent, fields?: LogFields): void;
  warn(event: LogEvent, fields?: LogFields): void;
  error(event: LogEvent, fields?: LogFields): void;
  /** Sets the lowest level that is logged; absent if the log has no levels. */
  changeLevel?(level: string): void;
  /** Resolves when all lines logged so far were written or dropped. */
  flush(): Promise<void>;
}

/** Options of a log. */
export interface EventLogOptions {
  /** Lowest level that is logged. */
  readonly level: string;
  /** Where lines are written; standard output if absent. */
  readonly sink?: LineSink;
  /** Maximum number of lines per event and second. */
  readonly limits?: LineRateLimits;
  /** Called with the number of lines that were dropped. */
  readonly countDropped?: (lines: number) => void;
}

/** File descriptor of the standard output. */
const STANDARD_OUTPUT = 1;

/**
 * Enough for the lines of all requests at the rate that one small VM serves.
 */
const DEFAULT_LIMITS: LineRateLimits = {
  [LineCategory.Routine]: 200,
  [LineCategory.Notable]: 400,
};

/** Events of normal operation, most of which are logged for each request. */
const ROUTINE_EVENTS: ReadonlySet<string> = new Set([
  LogEvent.TargetChosen,
  LogEvent.BudgetReserved,
  LogEvent.RequestEnded,
  LogEvent.GrantExchanged,
]);

function findCategory(event: string): LineCategory {
  return ROUTINE_EVENTS.has(event)
    ? LineCategory.Routine
    : LineCategory.Notable;
}

/**
 * Returns a log that writes lines at or above a level. When lines of an event
 * were dropped, it logs their number before a later event.
 */
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
  const limiter = new LineRateLimiter(options.limits ?? DEFAULT_LIMITS);
  return createLog(logger, { ...options, sink, limiter });
}

/** Returns a log that discards all lines, for tests. */
export function createSilentLog(): EventLog {
  const drop = () => {};
  return { info: drop, warn: drop, error: drop, flush: async () => {} };
}

function createLog(
  logger: Logger,
  options: EventLogOptions & {
    readonly sink: LineSink;
    readonly limiter: LineRateLimiter;
  },
): EventLog {
  const { sink, limiter, countDropped } = options;
  const write = (
    level: "info" | "warn" | "error",
    event: LogEvent,
    fields?: LogFields,
  ) => {
    const dropped = limiter.takeDropped(performance.now(), findCategory);
    const unwritten = sink.takeDroppedCount();
    if (unwritten > 0) dropped.push({ event: "unwritten", lines: unwritten });
    for (const { event: kind, lines } of dropped) {
      countDropped?.(lines);
      logger.warn(formatLine(LogEvent.LinesLeftOut, { kind, lines }));
    }
    if (!limiter.admit(event, findCategory(event))) return;
    logger.log(level, formatLine(event, fields));
  };
  return {
    info: (event, fields) => write("info", event, fields),
    warn: (event, fields) => write("warn", event, fields),
    error: (event, fields) => write("error", event, fields),
    changeLevel: (level) => void (logger.level = level),
    flush: async () => {
      // winston may hand lines to the sink in a later turn of the event loop.
      await new Promise((done) => setImmediate(done));
      await sink.waitUntilEmpty();
    },
  };
}

/**
 * Returns a function that logs an error which a run of the named background
 * process failed with.
 */
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
