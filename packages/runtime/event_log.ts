/**
 * Structured logs: one line of key=value pairs for each event, on standard
 * error, through winston.
 */
import { createLogger, format, type Logger, transports } from "winston";

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
}

/** Returns a log that writes lines at or above a level. */
export function createEventLog(level: string): EventLog {
  const logger = createLogger({
    level,
    format: format.printf((entry) =>
      `ts=${new Date().toISOString()} level=${entry.level} ${entry.message}`
    ),
    transports: [new transports.Console({ stderrLevels: ALL_LEVELS })],
  });
  return createLog(logger);
}

/** Returns a log that drops every line, for tests. */
export function createSilentLog(): EventLog {
  const drop = () => {};
  return { info: drop, warn: drop, error: drop };
}

const ALL_LEVELS = ["error", "warn", "info", "debug"];

function createLog(logger: Logger): EventLog {
  return {
    info: (event, fields) => void logger.info(formatLine(event, fields)),
    warn: (event, fields) => void logger.warn(formatLine(event, fields)),
    error: (event, fields) => void logger.error(formatLine(event, fields)),
  };
}

/** Returns what a process calls with an error that ended one of its turns. */
export function createFailureReport(
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
