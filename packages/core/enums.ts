/**
 * Enums shared by several packages. Their string values are used on the wire,
 * in rows, in the document, in logs and in metrics.
 */

/**
 * Whether a request was executed. A request is reported as run or not run only
 * if that is certain.
 */
export enum RequestOutcome {
  /** A target ran it, and the caller has or can get the complete answer. */
  Ran = "ran",
  /** No byte of the request reached a target. */
  NotRun = "not-run",
  /** It is not known whether a target ran it. */
  Unknown = "unknown",
}

/**
 * Order in which requests get scarce capacity. The values are listed from the
 * highest priority to the lowest.
 */
export enum Priority {
  Safety = "safety",
  Interactive = "interactive",
  Standard = "standard",
  Bulk = "bulk",
}

/** Whether a kind of request may be sent to a target again. */
export enum Repeatability {
  /** Idempotent: running it twice has the effect of running it once. */
  Repeatable = "repeatable",
  /** Must run at most once, such as a booking or a refuel. */
  Once = "once",
}

/** Type of the targets of a service. */
export enum ServiceType {
  /** Engines that serve a language model and count tokens. */
  ModelEngine = "model-engine",
  /** HTTP services without a model. */
  PlainService = "plain-service",
}

/**
 * Which drawback the owner of an event's budget prefers. The budget is never
 * overspent with either.
 */
export enum BudgetPreference {
  /**
   * Larger grants: fewer requests are refused although tokens are left, but a
   * lost VM strands more tokens.
   */
  FewerRefusals = "fewer-refusals",
  /**
   * Smaller grants: a lost VM strands few tokens, but a VM that cannot reach
   * the store refuses more requests.
   */
  TighterBudget = "tighter-budget",
}

/**
 * What a VM does with requests of a kind while it has no recent confirmation
 * that its document is the newest.
 */
export enum StalePolicy {
  /** Serves them according to the document that it has. */
  CarryOn = "carry-on",
  /** Refuses them until the document is confirmed. */
  Refuse = "refuse",
}

/**
 * Reason for which a request was refused, as shown to callers and in metrics.
 */
export enum RefusalKind {
  BadRequest = "bad-request",
  HeadersTooLarge = "headers-too-large",
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
  /** No target is usable in the regions that the request is confined to. */
  NoHomeTarget = "no-home-target",
  TargetsLimited = "targets-limited",
  TargetsPaused = "targets-paused",
  Quarantined = "quarantined",
  PartQuarantined = "part-quarantined",
  RequestQuarantined = "request-quarantined",
  ConfigurationStale = "configuration-stale",
  Draining = "draining",
  StreamUnknown = "stream-unknown",
  TargetFailed = "target-failed",
  OutcomeUnknown = "outcome-unknown",
  TimedOut = "timed-out",
  StillRunning = "still-running",
  Internal = "internal",
}
