/**
 * Runs one request: sends it to targets until one returns a complete answer or
 * no further attempt is allowed.
 */
import { type Either, Left } from "purify-ts";
import {
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  type ReleaseId,
  Repeatability,
  RequestOutcome,
  type TargetConfig,
  type Tokens,
} from "../../core/mod.ts";
import {
  AttemptEnd,
  type ConnectionPools,
  ConnectionProbe,
} from "../../ports/mod.ts";
import {
  ExtraAttempt,
  hasReachedTarget,
  type Placement,
  type RetryBudgets,
} from "../../routing/mod.ts";
import { AnswerForm, type HomeRegions, isSplit } from "../../routes/mod.ts";
import {
  createRefusal,
  createUnknownOutcomeRefusal,
  LogEvent,
} from "../../runtime/mod.ts";
import type { AnswerHead, ListedTarget } from "../dialect.ts";
import type { CrashDetector } from "../features/crashes/crash_detector.ts";
import type { CrashReports } from "../features/crashes/crash_reports.ts";
import type { TargetProbes } from "../features/paths/target_probes.ts";
import { StreamActivity } from "../features/streams/stream_activity.ts";
import type { StreamOrigins } from "../features/streams/stream_origins.ts";
import type { TargetRegistry } from "../features/target_registry.ts";
import type { GatewayContext } from "../gateway_context.ts";
import type { AttemptRules } from "./attempt_rules.ts";
import { AttemptWatchdog, type StallSupport } from "./attempt_watchdog.ts";
import type { RequestMemory } from "./request_memory.ts";
import {
  CallProgress,
  computeSeconds,
  computeStreamPeriod,
  findSharedPrefix,
  OTHER_VM_RETRY_AFTER,
  type RoutedCall,
} from "./routed_call.ts";
import {
  type AttemptFailure,
  callTarget,
  type CompleteAnswer,
  ConnectionState,
  type EventSink,
  forwardEvents,
  isEventStream,
  type TargetExchangeInput,
} from "./target_exchange.ts";

/** The result of a request, for logs and metrics. */
export interface CallEnd {
  readonly outcome: RequestOutcome;
  /** Status of the target's answer; 0 if no complete answer was sent. */
  readonly status: number;
  readonly detail?: string;
}

/**
 * Fraction of the configured retry ratio that first attempts earn. The rest is
 * reserved for the slack, which all VMs may use at the same time, so that both
 * together stay within the fleet's bound on retries.
 */
const EARNED_RATIO_SHARE = 0.5;

/**
 * Maximum number of retries after sends that the target did not receive or says
 * it did not run. Such sends don't count towards the route's `maxAttempts`.
 */
const MAX_NOT_RUN_SENDS = 2;

/** Minimum time before the deadline for which an attempt is worth starting. */
const MIN_TIME_LEFT: Millis = 30;

/** An attempt in progress. */
interface StartedAttempt {
  readonly progress: CallProgress;
  readonly startedAt: MonotonicTime;
  /** Number of events that earlier attempts forwarded to the caller. */
  readonly eventsBefore: number;
}

/** A refusal before anything is done for a call. */
export interface EarlyRefusal {
  readonly refusal: Refusal;
  readonly homeRegions: HomeRegions | undefined;
}

/** Dependencies of a {@link CallRunner}. */
export interface CallRunnerOptions {
  readonly context: GatewayContext;
  readonly targets: TargetRegistry;
  readonly rules: AttemptRules;
  readonly pools: ConnectionPools;
  readonly retries: RetryBudgets;
  readonly crashReports: CrashReports;
  readonly crashDetector: CrashDetector;
  readonly streams: StreamOrigins;
  readonly memory: RequestMemory;
  readonly probes: TargetProbes;
}

/** Runs calls at targets, with retries and resumed streams. */
export class CallRunner {
  readonly #options: CallRunnerOptions;
  readonly #activity = new StreamActivity();

  constructor(options: CallRunnerOptions) {
    this.#options = options;
  }

  /**
   * Runs a call until its caller has a final answer or has disconnected, and
   * updates `progress` on the way. A target's failure leads to a retry or to a
   * refusal and does not reject the promise.
   */
  async run(call: RoutedCall, progress: CallProgress): Promise<CallEnd> {
    const { retries, context, crashReports } = this.#options;
    const { suspectKeys } = call;
    const { ratio } = context.settings.retries;
    retries.recordFirstAttempt(call.service, ratio * EARNED_RATIO_SHARE);
    let failure: AttemptFailure | undefined;
    let errorAnswer: CompleteAnswer | undefined;
    let lossCheck: Promise<void> | undefined;
    for (let sends = 0;; sends++) {
      if (call.exchange.isDisconnected) return createDisconnectedEnd(progress);
      const isRetry = sends > 0;
      if (isRetry && !this.#mayRetry(call, { progress, failure, sends })) break;
      await lossCheck;
      if (call.stopSignal.aborted) break;
      // A suspect that goes on to another target may crash that as well.
      if (isRetry && crashReports.hasSuspectPart(suspectKeys)) break;
      const quarantined = crashReports.findRefusal(suspectKeys);
      if (quarantined !== undefined) {
        if (progress.runs > 0) break;
        const { refusal, detail } = quarantined;
        return { ...this.#refuse(call, refusal), detail };
      }
      const homeRegions = this.#options.rules.findHomeRegions(call);
      const choice = this.#chooseTarget(call, { progress, homeRegions });
      if (choice.isLeft()) {
        if (isRetry) break;
        return this.#refuse(call, choice.extract());
      }
      const chosen = choice.extract() as TargetConfig;
      if (isRetry) this.#recordRetry(call, { progress, failure });
      const result = await this.#runAttempt(call, {
        progress,
        target: chosen,
        homeRegions,
      });
      if (result.isComplete) {
        const isFailure = this.#isFailedAnswer(call, result.answer);
        if (!isFailure) return this.#deliver(call, result.answer);
        errorAnswer = result.answer;
        failure = {
          end: AttemptEnd.Broken,
          detail: `the target answered ${result.answer.head.status}`,
        };
      } else {
        failure = result.failure;
        lossCheck = result.lossCheck;
      }
    }
    if (errorAnswer !== undefined && !call.exchange.hasSentHead) {
      return this.#deliver(call, errorAnswer);
    }
    return this.#giveUp(call, { progress, failure });
  }

  /**
   * Returns the refusal of a call for which no target is usable because of home
   * regions or evacuations, so that it doesn't wait for tokens. Of a stream that is
   * taken up at a split route, the service isn't known yet.
   */
  findEarlyRefusal(call: RoutedCall): EarlyRefusal | undefined {
    const { rules, targets } = this.#options;
    const homeRegions = rules.findHomeRegions(call);
    if (homeRegions === undefined && !targets.hasEvacuations) return undefined;
    if (call.request.resumeAfter !== undefined && isSplit(call.route)) {
      return undefined;
    }
    const progress = new CallProgress();
    const refusal = targets.findNoTarget({
      ...createChoice(call, { progress, homeRegions }),
      ...findSharedPrefix(call.request.prompt),
    });
    return refusal === undefined ? undefined : { refusal, homeRegions };
  }

  /**
   * Whether a repeatable call got a server error, which may be retried, or a
   * stream that has begun got an answer that can't continue it.
   */
  #isFailedAnswer(call: RoutedCall, answer: CompleteAnswer): boolean {
    if (call.exchange.hasSentHead) return !isEventStream(answer.head);
    return call.route.repeatability === Repeatability.Repeatable &&
      answer.head.status >= 500;
  }

  /**
   * Whether another attempt is allowed by the last failure, the deadline, the
   * route's rules on repetition and the service's retry budget.
   */
  #mayRetry(
    call: RoutedCall,
    input: {
      readonly progress: CallProgress;
      readonly failure: AttemptFailure | undefined;
      readonly sends: number;
    },
  ): boolean {
    const { progress, failure, sends } = input;
    const { context, retries } = this.#options;
    const now = context.clock.readMonotonic();
    if (failure === undefined || failure.end === AttemptEnd.Cancelled) {
      return false;
    }
    if (call.deadline - now < MIN_TIME_LEFT) return false;
    const mayRepeat = call.route.repeatability === Repeatability.Repeatable;
    if (progress.runs > 0 && !mayRepeat) return false;
    if (progress.events > 0 && !mayResume(call, progress)) return false;
    if (progress.runs >= call.route.maxAttempts) return false;
    if (sends - progress.runs > MAX_NOT_RUN_SENDS) return false;
    if (progress.isRetryReserved) return true;
    return retries.covers(call.service, { extra: ExtraAttempt.Retry, now });
  }

  #recordRetry(
    call: RoutedCall,
    input: {
      readonly progress: CallProgress;
      readonly failure: AttemptFailure | undefined;
    },
  ): void {
    const { context, retries } = this.#options;
    const { progress, failure } = input;
    if (!progress.isRetryReserved) {
      retries.recordExtraAttempt(call.service, ExtraAttempt.Retry);
    }
    progress.isRetryReserved = false;
    const event = progress.events > 0
      ? LogEvent.StreamResumed
      : LogEvent.AttemptRetried;
    context.log.info(event, {
      request: call.request.id,
      after: failure?.end,
      reason: failure?.detail,
      events: progress.events,
      last_event: progress.lastEventId,
      release: progress.release,
    });
  }

  #chooseTarget(
    call: RoutedCall,
    input: {
      readonly progress: CallProgress;
      readonly homeRegions: HomeRegions | undefined;
    },
  ): Either<Refusal, TargetConfig> {
    const { rules, targets } = this.#options;
    if (rules.isOutdatedFor(call)) return Left(createOutdated());
    const shared = findSharedPrefix(call.request.prompt);
    return targets.choose({
      ...createChoice(call, input),
      ...shared,
    }).map((placement) => {
      this.#logChoice(call, { placement, sharedTokens: shared.sharedTokens });
      return placement.target;
    }).mapLeft((refusal) =>
      TIMED_REFUSALS.has(refusal.kind)
        ? refusal
        : createRefusal(refusal.kind, RETRY_LATER)
    );
  }

  #findPausedRefusal(
    call: RoutedCall,
    progress: CallProgress,
  ): Refusal | undefined {
    const homeRegions = this.#options.rules.findHomeRegions(call);
    return this.#options.targets.findPausedRefusal(
      createChoice(call, { progress, homeRegions }),
    );
  }

  #logChoice(
    call: RoutedCall,
    input: { readonly placement: Placement; readonly sharedTokens: Tokens },
  ): void {
    const { target, load, loadAge, isHolder, usable, turn, coldTurn } =
      input.placement;
    this.#options.context.log.info(LogEvent.TargetChosen, {
      request: call.request.id,
      target: target.id,
      service: call.service,
      data_centre: target.dataCentre,
      release: target.release,
      load: load.toFixed(2),
      load_age_ms: loadAge === undefined ? undefined : Math.round(loadAge),
      holder: isHolder,
      shared_tokens: input.sharedTokens,
      usable,
      limited: turn === undefined ? undefined : true,
      cold: coldTurn === undefined ? undefined : true,
    });
  }

  async #runAttempt(
    call: RoutedCall,
    input: {
      readonly progress: CallProgress;
      readonly target: TargetConfig;
      readonly homeRegions: HomeRegions | undefined;
    },
  ): Promise<
    | { readonly isComplete: true; readonly answer: CompleteAnswer }
    | {
      readonly isComplete: false;
      readonly failure: AttemptFailure;
      /** Resolves when it is known whether the target has crashed. */
      readonly lossCheck?: Promise<void>;
    }
  > {
    const { progress, target, homeRegions } = input;
    const { context, targets } = this.#options;
    const listed = targets.find(target.id);
    if (listed === undefined) {
      const end = AttemptEnd.NotSent;
      return {
        isComplete: false,
        failure: { end, detail: "the target is no longer listed" },
      };
    }
    progress.triedTargets.push(target.id);
    const startedAt = context.clock.readMonotonic();
    const promptTokens = call.request.prompt?.tokens ?? 0;
    targets.recordStart(target.id, { now: startedAt, promptTokens });
    const watchdog = new AttemptWatchdog(call, {
      clock: context.clock,
      stall: this.#createStallSupport(call, { progress, listed }),
    });
    const started = { progress, startedAt, eventsBefore: progress.events };
    const exchange = this.#createExchange(call, {
      progress,
      listed,
      homeRegions,
      signal: watchdog.signal,
    });
    const result = call.route.form === AnswerForm.Events
      ? await this.#forwardStream(call, {
        ...exchange,
        sink: this.#createSink(call, progress, listed),
        recordProgress: () => watchdog.recordProgress(),
      })
      : await callTarget(exchange);
    watchdog.stop();
    if (result.isRight()) {
      const answer = result.extract() as CompleteAnswer;
      this.#recordOutcome(call, { target, started, head: answer.head });
      this.#options.crashReports.recordBegun(call.suspectKeys);
      return { isComplete: true, answer };
    }
    const failure = watchdog.explainFailure(result.extract() as AttemptFailure);
    this.#recordOutcome(call, {
      target,
      started,
      failure,
      ...(failure.head === undefined ? {} : { head: failure.head }),
    });
    const hasEvent = progress.events > started.eventsBefore;
    const lossCheck = this.#recordConnection(call, {
      listed,
      failure,
      hasEvent,
    });
    return { isComplete: false, failure, lossCheck };
  }

  /** Forwards the events of a stream and records when they arrive. */
  async #forwardStream(
    call: RoutedCall,
    input: Parameters<typeof forwardEvents>[0],
  ): ReturnType<typeof forwardEvents> {
    const { id } = input.target;
    const { clock } = this.#options.context;
    const now = clock.readMonotonic();
    this.#activity.recordStart(id, { service: call.service, now });
    try {
      return await forwardEvents({
        ...input,
        recordProgress: () => {
          this.#activity.recordEvent(id, clock.readMonotonic());
          input.recordProgress();
        },
      });
    } finally {
      this.#activity.recordEnd(id);
    }
  }

  /**
   * Returns what decides about an attempt whose target falls silent; undefined
   * if no other target may resume the stream.
   */
  #createStallSupport(
    call: RoutedCall,
    input: {
      readonly progress: CallProgress;
      readonly listed: ListedTarget;
    },
  ): StallSupport | undefined {
    const { progress, listed } = input;
    const { context, probes, retries, targets } = this.#options;
    const { service, route } = call;
    const mayRepeat = route.resumable && progress.runs + 1 < route.maxAttempts;
    if (!mayRepeat) return undefined;
    return {
      assess: () => {
        const now = context.clock.readMonotonic();
        return {
          mayMoveOn: this.#mayMoveOn(call, { progress, now }),
          isListed: targets.find(listed.id) !== undefined,
          areOthersStalled: this.#activity.areOthersStalled(listed.id, {
            service,
            now,
          }),
        };
      },
      // A relayed connection doesn't show whether this VM's own path works.
      probe: async () =>
        progress.relay !== undefined ||
        await probes.check(listed) === ConnectionProbe.Accepted,
      reserveMove: () => {
        retries.recordExtraAttempt(service, ExtraAttempt.Retry);
        progress.isRetryReserved = true;
      },
    };
  }

  /** Whether a stream could go on at another target if its attempt ended now. */
  #mayMoveOn(
    call: RoutedCall,
    input: { readonly progress: CallProgress; readonly now: MonotonicTime },
  ): boolean {
    const { progress, now } = input;
    const { retries, rules, targets } = this.#options;
    const { service } = call;
    if (rules.isOutdatedFor(call)) return false;
    if (call.deadline - now < MIN_TIME_LEFT) return false;
    if (progress.events > 0 && !mayResume(call, progress)) return false;
    if (!retries.covers(service, { extra: ExtraAttempt.Retry, now })) {
      return false;
    }
    const homeRegions = rules.findHomeRegions(call);
    return targets.hasChoice({
      ...createChoice(call, { progress, homeRegions }),
      ...findSharedPrefix(call.request.prompt),
    });
  }

  /**
   * Records what a failed attempt shows about a crash of its target. Resolves
   * when it is known whether there was one.
   */
  #recordConnection(
    call: RoutedCall,
    input: {
      readonly listed: ListedTarget;
      readonly failure: AttemptFailure;
      readonly hasEvent: boolean;
    },
  ): Promise<void> {
    const { listed, failure, hasEvent } = input;
    const { crashDetector } = this.#options;
    if (failure.connection === ConnectionState.Refused) {
      crashDetector.recordRefused(listed.id);
    }
    if (failure.connection !== ConnectionState.Lost || hasEvent) {
      return Promise.resolve();
    }
    return crashDetector.recordLost(listed, {
      keys: call.suspectKeys,
      hasHead: failure.head !== undefined,
    });
  }

  /** Records the end of an attempt: progress, target state, metrics and log. */
  #recordOutcome(
    call: RoutedCall,
    input: {
      readonly target: TargetConfig;
      readonly started: StartedAttempt;
      readonly head?: AnswerHead;
      readonly failure?: AttemptFailure;
    },
  ): void {
    const { target, started, head, failure } = input;
    const { progress, startedAt, eventsBefore } = started;
    const { context, targets } = this.#options;
    const now = context.clock.readMonotonic();
    const end = failure?.end ?? AttemptEnd.Complete;
    if (hasReachedTarget(end)) progress.runs++;
    this.#recordLoad(target, { end, head });
    const isPrefillPending = progress.events === eventsBefore;
    targets.recordEnd(target.id, {
      now,
      end,
      ...(isPrefillPending
        ? { unreadTokens: call.request.prompt?.tokens ?? 0 }
        : {}),
    });
    context.metrics.attempts.inc({ end });
    if (failure === undefined) return;
    context.log.warn(LogEvent.AttemptFailed, {
      request: call.request.id,
      target: target.id,
      end,
      reason: failure.detail,
      events: progress.events,
      ms: Math.round(now - startedAt),
    });
  }

  /** Records the load that a target reports, or that it refused the request. */
  #recordLoad(
    target: TargetConfig,
    input: { readonly end: AttemptEnd; readonly head: AnswerHead | undefined },
  ): void {
    const { end, head } = input;
    const { targets } = this.#options;
    if (head === undefined) return;
    const load = head.load === undefined ? {} : { load: head.load };
    if (end === AttemptEnd.Refused) {
      const isOther = head.isOtherTarget;
      targets.recordRefusal(target.id, { isOther, ...load });
    } else if (head.load !== undefined) {
      targets.recordLoad(target.id, head.load);
    }
  }

  #createExchange(
    call: RoutedCall,
    input: {
      readonly progress: CallProgress;
      readonly listed: ListedTarget;
      readonly homeRegions: HomeRegions | undefined;
      readonly signal: AbortSignal;
    },
  ): TargetExchangeInput {
    const { context, pools, memory } = this.#options;
    const { customer, request, route } = call;
    const rank = customer?.rank ?? route.rank;
    const resumeAfter = input.progress.lastEventId ?? request.resumeAfter;
    const sentAt = context.clock.readMonotonic();
    return {
      dialect: context.dialect,
      pools,
      target: input.listed,
      homeRegions: input.homeRegions,
      request,
      body: call.body,
      memory,
      signal: input.signal,
      recordConnected: (relay) => (input.progress.relay = relay),
      recordHead: (head) => {
        const age = context.clock.readMonotonic() - sentAt;
        const { targets } = this.#options;
        targets.recordLimit(input.listed, { head, age });
        if (head.isOtherTarget) return;
        targets.recordAnswered(input.listed);
        if (head.leaving) targets.recordLeaving(input.listed);
        if (head.pause !== undefined) {
          targets.recordPause(input.listed, head.pause);
        }
      },
      head: {
        timeLeft: call.deadline - context.clock.readMonotonic(),
        ...(customer === undefined ? {} : { customer: customer.id }),
        ...(request.prompt === undefined ? {} : { rank }),
        ...(resumeAfter === undefined ? {} : { resumeAfter }),
      },
    };
  }

  #createSink(
    call: RoutedCall,
    progress: CallProgress,
    target: ListedTarget,
  ): EventSink {
    const { targets } = this.#options;
    let head: AnswerHead | undefined;
    let release: ReleaseId | undefined;
    let isFirst = true;
    return {
      handleHead: (received) => {
        head = received;
        if (!targets.isReplaced(target)) {
          release = target.release;
          return undefined;
        }
        return progress.release === undefined
          ? undefined
          : "another process answers under the target's id";
      },
      handleEvent: (event) => {
        const { hasContent } = event;
        if (isFirst && hasContent) {
          isFirst = false;
          if (progress.events === 0) {
            progress.release ??= release;
            this.#recordBegun(call, progress);
          }
          targets.recordPrefillEnd(target.id, call.request.prompt?.tokens ?? 0);
          this.#recordFirstByte(call, progress);
          this.#options.crashReports.recordBegun(call.suspectKeys);
        }
        call.exchange.sendHead(head!.status, head!.headers);
        if (hasContent) progress.events++;
        progress.lastEventId = event.id ?? progress.lastEventId;
        if (call.exchange.write(event.bytes)) return undefined;
        return call.exchange.waitDrain();
      },
    };
  }

  /** Records the release of a stream that its caller may take up again. */
  #recordBegun(call: RoutedCall, { release }: CallProgress): void {
    if (!call.route.resumable || release === undefined) return;
    this.#options.streams.recordBegun({
      id: findStreamId(call),
      service: call.service,
      release,
      isSplit: isSplit(call.route),
      period: computeStreamPeriod(call),
    });
  }

  #recordFirstByte(call: RoutedCall, progress: CallProgress): void {
    if (progress.firstByteAt !== undefined) return;
    const { clock, metrics } = this.#options.context;
    progress.firstByteAt = clock.readMonotonic();
    metrics.firstByte.observe(
      computeSeconds(call.arrivedAt, progress.firstByteAt),
    );
  }

  #deliver(call: RoutedCall, answer: CompleteAnswer): CallEnd {
    const { head, body } = answer;
    const { exchange } = call;
    if (exchange.hasSentHead) {
      exchange.end();
      this.#options.streams.recordComplete(findStreamId(call));
    } else {
      exchange.sendComplete({
        status: head.status,
        headers: head.headers,
        body,
      });
    }
    return { outcome: RequestOutcome.Ran, status: head.status };
  }

  /**
   * Ends a call without an answer of a target: refuses it as not run if no
   * target can have run it, else reports its outcome as unknown.
   */
  #giveUp(
    call: RoutedCall,
    input: {
      readonly progress: CallProgress;
      readonly failure: AttemptFailure | undefined;
    },
  ): CallEnd {
    const { progress, failure } = input;
    const { exchange } = call;
    if (exchange.isDisconnected) return createDisconnectedEnd(progress);
    const now = this.#options.context.clock.readMonotonic();
    const isTimeUp = call.deadline - now < MIN_TIME_LEFT;
    const detail = failure?.detail;
    const refuseWithDetail = (refusal: Refusal): CallEnd => {
      const refused = this.#refuse(call, refusal);
      return detail === undefined ? refused : { ...refused, detail };
    };
    if (progress.runs === 0 && call.stopSignal.aborted) {
      return refuseWithDetail(
        createRefusal(RefusalKind.Draining, {
          retryAfter: OTHER_VM_RETRY_AFTER,
        }),
      );
    }
    if (progress.runs === 0) {
      const kind = isTimeUp
        ? RefusalKind.DeadlineTooSoon
        : RefusalKind.NoTarget;
      return refuseWithDetail(
        this.#findPausedRefusal(call, progress) ??
          createRefusal(kind, RETRY_LATER),
      );
    }
    return refuseWithDetail(createUnknownOutcomeRefusal(
      isTimeUp || call.stopSignal.aborted
        ? RefusalKind.TimedOut
        : RefusalKind.TargetFailed,
    ));
  }

  #refuse(call: RoutedCall, refusal: Refusal): CallEnd {
    const { context } = this.#options;
    const isInterrupted = call.exchange.hasSentHead;
    call.exchange.refuse(refusal, {
      dialect: context.dialect,
      requestId: call.request.id,
    });
    context.metrics.refusals.inc({ reason: refusal.kind });
    return {
      outcome: refusal.outcome,
      status: 0,
      detail: isInterrupted
        ? `answer interrupted: ${refusal.kind}`
        : refusal.kind,
    };
  }
}

/**
 * Options of refusals when no target can be used: a newly listed target or a
 * free slot is likely within about a second.
 */
const RETRY_LATER = { retryAfter: 1_000 };

/** Refusals whose time is known. */
const TIMED_REFUSALS: ReadonlySet<RefusalKind> = new Set([
  RefusalKind.ConfigurationStale,
  RefusalKind.TargetsLimited,
  RefusalKind.TargetsPaused,
]);

/** Returns what the choice of a call's next target depends on. */
function createChoice(
  { service }: RoutedCall,
  input: {
    readonly progress: CallProgress;
    readonly homeRegions: HomeRegions | undefined;
  },
) {
  const { progress: { triedTargets, release }, homeRegions } = input;
  return {
    service,
    tried: triedTargets,
    ...(release === undefined ? {} : { release }),
    ...(homeRegions === undefined ? {} : { homeRegions }),
  };
}

/** Returns the refusal of a call that other VMs may know better about. */
function createOutdated(): Refusal {
  return createRefusal(RefusalKind.ConfigurationStale, {
    retryAfter: OTHER_VM_RETRY_AFTER,
  });
}

/** Returns the id of the request that began the stream of a call. */
function findStreamId({ request }: RoutedCall): string {
  return request.resumeAfter === undefined
    ? request.id
    : request.resumes ?? request.id;
}

/** Whether a stream that has begun may go on at another target. */
function mayResume(call: RoutedCall, progress: CallProgress): boolean {
  return call.route.resumable && progress.release !== undefined;
}

function createDisconnectedEnd(progress: CallProgress): CallEnd {
  return {
    outcome: progress.runs > 0 ? RequestOutcome.Unknown : RequestOutcome.NotRun,
    status: 0,
    detail: "the caller disconnected",
  };
}
