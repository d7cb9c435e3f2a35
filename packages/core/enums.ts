/**
 * Closed sets of words that several packages share. The string values are the
 * ones used on the wire, in rows and in the document.
 */

/** What became of a request. The three are never blurred. */
export enum RequestOutcome {
  /** The target ran it and the caller has, or can have, the whole answer. */
  Ran = "ran",
  /** No byte of it reached any target. */
  NotRun = "not-run",
  /** A target may or may not have run it. */
  Unknown = "unknown",
}

/** Order in which scarce capacity is given out; the first is served first. */
export enum Priority {
  Safety = "safety",
  Interactive = "interactive",
  Standard = "standard",
  Bulk = "bulk",
}

/** Whether a kind of request may be sent to a target a second time. */
export enum Repeatability {
  /** Idempotent: running it twice has the effect of running it once. */
  Repeatable = "repeatable",
  /** It must run at most once, such as a booking or a refuel. */
  Once = "once",
}

/** What sort of target a service is made of. */
export enum ServiceType {
  ModelEngine = "model-engine",
  PlainService = "plain-service",
}

/** Which error an event's owner would rather risk. Neither can overspend. */
export enum BudgetPreference {
  /** Larger grants: fewer false refusals, more tokens stranded by a lost VM. */
  FewerRefusals = "fewer-refusals",
  /** Smaller grants: little is stranded, more refusals while cut off. */
  TighterBudget = "tighter-budget",
}

/** What a VM does with a kind while it cannot confirm that its document is fresh. */
export enum StalePolicy {
  CarryOn = "carry-on",
  Refuse = "refuse",
}

/** How a request was refused, as callers and metrics see it. */
export enum RefusalKind {
  BadRequest = "bad-request",
  BodyTooLarge = "body-too-large",
  SlowSender = "slow-sender",
  BadKey = "bad-key",
  UnknownEvent = "unknown-event",
  UnknownKind = "unknown-kind",
  UnknownRoute = "unknown-route",
  CustomerNotAllowed = "customer-not-allowed",
  RequestKeyMissing = "request-key-missing",
  RequestKeyReused = "request-key-reused",
  BudgetSpent = "budget-spent",
  BudgetUnreachable = "budget-unreachable",
  StoreUnavailable = "store-unavailable",
  RateLimited = "rate-limited",
  Overloaded = "overloaded",
  DeadlineTooSoon = "deadline-too-soon",
  NoTarget = "no-target",
  Quarantined = "quarantined",
  ConfigurationStale = "configuration-stale",
  Draining = "draining",
  TargetFailed = "target-failed",
  OutcomeUnknown = "outcome-unknown",
  TimedOut = "timed-out",
  StillRunning = "still-running",
  Internal = "internal",
}
