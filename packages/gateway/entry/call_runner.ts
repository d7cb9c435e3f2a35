/**
 * Carries one request out: attempts at targets until one brings the whole
 * answer, or nothing more may be tried.
 */
import {
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  Repeatability,
  RequestOutcome,
  type TargetConfig,
  type Tokens,
} from "../../core/mod.ts";
import { AttemptEnd, type ConnectionPools } from "../../ports/mod.ts";
import {
  ExtraAttempt,
  hasReachedTarget,
  type Placement,
  type RetryBudgets,
} from "../../routing/mod.ts";
import { AnswerForm } from "../../routes/mod.ts";
import {
  createRefusal,
  createUnknownOutcomeRefusal,
  LogEvent,
} from "../../runtime/mod.ts";
import type { AnswerHead, ListedTarget } from "../dialect.ts";
import type { TargetRegistry } from "../features/target_registry.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { AttemptWatch } from "./attempt_watch.ts";
import {
  CallProgress,
  computeSeconds,
  findBeginning,
  type RoutedCall,
} from "./routed_call.ts";
import {
  type AttemptFailure,
  callWhole,
  type EventSink,
  forwardEvents,
  type TargetExchangeInput,
  type WholeAnswer,
} from "./target_exchange.ts";

/** How a request ended, for logs and metrics. */
export interface CallEnd {
  readonly outcome: RequestOutcome;
  readonly status: number;
  readonly detail?: string;
}

/**
 * Part of the fleet's retry ratio that requests earn; the rest is the slack that
 * VMs may use at once, so that both together keep to the fleet's bound.
 */
const EARNED_PART = 0.5;

/** Sends that a target said it did not run, or never got, beyond the runs. */
const MOST_UNRUN_SENDS = 2;

/** Time left below which an attempt has no use. */
const LEAST_TIME_LEFT: Millis = 30;

/** An attempt under way, and how far its request was when it began. */
interface StartedAttempt {
  readonly progress: CallProgress;
  readonly startedAt: MonotonicTime;
  readonly eventsBefore: number;
}

/** What running calls needs. */
export interface CallRunnerOptions {
  readonly context: GatewayContext;
  readonly targets: TargetRegistry;
  readonly pools: ConnectionPools;
  readonly retries: RetryBudgets;
}

/** Runs calls. */
export class CallRunner {
  readonly #options: CallRunnerOptions;

  constructor(options: CallRunnerOptions) {
    this.#options = options;
  }

  /** Runs a call to its final answer. Never throws. */
  async run(call: RoutedCall, progress: CallProgress): Promise<CallEnd> {
    const { retries, context } = this.#options;
    const { ratio } = context.settings.retries;
    retries.recordFirstAttempt(call.service, ratio * EARNED_PART);
    let failure: AttemptFailure | undefined;
    let spare: WholeAnswer | undefined;
    for (let sends = 0;; sends++) {
      if (call.exchange.isGone) return createGone(progress);
      const isRetry = sends > 0;
      if (isRetry && !this.#mayRetry(call, { progress, failure, sends })) break;
      const chosen = this.#choose(call, progress);
      if (typeof chosen === "string") {
        if (isRetry) break;
        return this.#refuse(call, createRefusal(chosen, RETRY_LATER));
      }
      if (isRetry) this.#recordRetry(call, { progress, failure });
      const result = await this.#attempt(call, { progress, target: chosen });
      if (result.isWhole) {
        const isWorthRetry = this.#isFailedAnswer(call, result.answer);
        if (!isWorthRetry) return this.#deliver(call, result.answer);
        spare = result.answer;
        failure = {
          end: AttemptEnd.Broken,
          detail: `the target answered ${result.answer.head.status}`,
        };
      } else failure = result.failure;
    }
    if (spare !== undefined && !call.exchange.hasBegun) {
      return this.#deliver(call, spare);
    }
    return this.#giveUp(call, { progress, failure });
  }

  /** Whether a repeatable call's answer is a failure of the target's own. */
  #isFailedAnswer(call: RoutedCall, answer: WholeAnswer): boolean {
    return call.route.repeatability === Repeatability.Repeatable &&
      answer.head.status >= 500 && !call.exchange.hasBegun;
  }

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
    if (call.deadline - now < LEAST_TIME_LEFT) return false;
    const mayRepeat = call.route.repeatability === Repeatability.Repeatable;
    if (progress.runs > 0 && !mayRepeat) return false;
    if (progress.events > 0 && !call.route.resumable) return false;
    if (progress.runs >= call.route.maxAttempts) return false;
    if (sends - progress.runs > MOST_UNRUN_SENDS) return false;
    return retries.hasRoom(call.service, { extra: ExtraAttempt.Retry, now });
  }

  #recordRetry(
    call: RoutedCall,
    input: {
      readonly progress: CallProgress;
      readonly failure: AttemptFailure | undefined;
    },
  ): void {
    const { context, retries } = this.#options;
    retries.recordExtraAttempt(call.service, ExtraAttempt.Retry);
    const { progress, failure } = input;
    const event = progress.events > 0
      ? LogEvent.StreamResumed
      : LogEvent.AttemptRetried;
    context.log.info(event, {
      request: call.request.id,
      after: failure?.end,
      reason: failure?.detail,
      events: progress.events,
      last_event: progress.lastEvent,
    });
  }

  #choose(
    call: RoutedCall,
    progress: CallProgress,
  ): TargetConfig | RefusalKind {
    const shared = findBeginning(call.request.prompt);
    return this.#options.targets.choose({
      service: call.service,
      tried: progress.tried,
      ...shared,
    }).caseOf<TargetConfig | RefusalKind>({
      Left: (refusal) => refusal.kind,
      Right: (placement) => {
        this.#logChoice(call, { placement, sharedTokens: shared.sharedTokens });
        return placement.target;
      },
    });
  }

  #logChoice(
    call: RoutedCall,
    input: { readonly placement: Placement; readonly sharedTokens: Tokens },
  ): void {
    const { target, load, loadAge, isHolder, usable } = input.placement;
    this.#options.context.log.info(LogEvent.TargetChosen, {
      request: call.request.id,
      target: target.id,
      service: call.service,
      data_centre: target.dataCentre,
      load: load.toFixed(2),
      load_age_ms: loadAge === undefined ? undefined : Math.round(loadAge),
      holder: isHolder,
      shared_tokens: input.sharedTokens,
      usable,
    });
  }

  async #attempt(
    call: RoutedCall,
    input: { readonly progress: CallProgress; readonly target: TargetConfig },
  ): Promise<
    | { readonly isWhole: true; readonly answer: WholeAnswer }
    | { readonly isWhole: false; readonly failure: AttemptFailure }
  > {
    const { progress, target } = input;
    const { context, targets } = this.#options;
    const listed = targets.find(target.id);
    if (listed === undefined) {
      const end = AttemptEnd.NotSent;
      return { isWhole: false, failure: { end, detail: "the target is gone" } };
    }
    progress.tried.push(target.id);
    const startedAt = context.clock.readMonotonic();
    const promptTokens = call.request.prompt?.tokens ?? 0;
    targets.recordStart(target.id, { now: startedAt, promptTokens });
    const watch = new AttemptWatch(call, {
      now: startedAt,
      resumable: call.route.resumable &&
        progress.runs + 1 < call.route.maxAttempts,
    });
    const started = { progress, startedAt, eventsBefore: progress.events };
    const exchange = this.#createExchange(call, {
      progress,
      listed,
      signal: watch.signal,
    });
    const result = call.route.form === AnswerForm.Events
      ? await forwardEvents({
        ...exchange,
        sink: this.#createSink(call, progress, target),
        recordProgress: () => watch.recordProgress(),
      })
      : await callWhole(exchange);
    watch.stop();
    if (result.isRight()) {
      const answer = result.extract() as WholeAnswer;
      this.#recordOutcome(call, { target, started, head: answer.head });
      return { isWhole: true, answer };
    }
    const failure = watch.explain(result.extract() as AttemptFailure);
    this.#recordOutcome(call, {
      target,
      started,
      failure,
      ...(failure.head === undefined ? {} : { head: failure.head }),
    });
    return { isWhole: false, failure };
  }

  /** Folds the end of an attempt into what is known of its request and target. */
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
    const isUnread = progress.events === eventsBefore;
    targets.recordEnd(target.id, {
      now,
      end,
      ...(isUnread ? { unreadTokens: call.request.prompt?.tokens ?? 0 } : {}),
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

  /** Takes in what a target says of its load, or that it ran nothing. */
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
      readonly signal: AbortSignal;
    },
  ): TargetExchangeInput {
    const { context, pools } = this.#options;
    const { customer, request, route } = call;
    const rank = customer?.rank ?? route.rank;
    const resumeAfter = input.progress.lastEvent ?? request.resumeAfter;
    return {
      dialect: context.dialect,
      pools,
      target: input.listed,
      request,
      body: call.body,
      signal: input.signal,
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
    target: TargetConfig,
  ): EventSink {
    const { targets } = this.#options;
    let head: AnswerHead | undefined;
    let isFirst = true;
    return {
      takeHead: (taken) => {
        head = taken;
      },
      takeEvent: (event) => {
        if (isFirst) {
          isFirst = false;
          targets.recordRead(target.id, call.request.prompt?.tokens ?? 0);
          this.#recordFirstByte(call, progress);
        }
        call.exchange.sendHead(head!.status, head!.headers);
        progress.events++;
        progress.lastEvent = event.id ?? progress.lastEvent;
        if (call.exchange.write(event.bytes)) return undefined;
        return call.exchange.waitDrain();
      },
    };
  }

  #recordFirstByte(call: RoutedCall, progress: CallProgress): void {
    if (progress.firstByteAt !== undefined) return;
    const { clock, metrics } = this.#options.context;
    progress.firstByteAt = clock.readMonotonic();
    metrics.firstByte.observe(
      computeSeconds(call.arrivedAt, progress.firstByteAt),
    );
  }

  #deliver(call: RoutedCall, answer: WholeAnswer): CallEnd {
    const { head, body } = answer;
    const { exchange } = call;
    if (exchange.hasBegun) {
      if (body.length > 0) exchange.write(body);
      exchange.end();
    } else {
      exchange.sendWhole({ status: head.status, headers: head.headers, body });
    }
    return { outcome: RequestOutcome.Ran, status: head.status };
  }

  #giveUp(
    call: RoutedCall,
    input: {
      readonly progress: CallProgress;
      readonly failure: AttemptFailure | undefined;
    },
  ): CallEnd {
    const { progress, failure } = input;
    const { exchange } = call;
    if (exchange.isGone) return createGone(progress);
    const now = this.#options.context.clock.readMonotonic();
    const isLate = call.deadline - now < LEAST_TIME_LEFT;
    const detail = failure?.detail;
    const end = (refusal: Refusal): CallEnd => {
      const refused = this.#refuse(call, refusal);
      return detail === undefined ? refused : { ...refused, detail };
    };
    if (progress.runs === 0) {
      const kind = isLate ? RefusalKind.DeadlineTooSoon : RefusalKind.NoTarget;
      return end(createRefusal(kind, RETRY_LATER));
    }
    return end(createUnknownOutcomeRefusal(
      isLate ? RefusalKind.TimedOut : RefusalKind.TargetFailed,
    ));
  }

  #refuse(call: RoutedCall, refusal: Refusal): CallEnd {
    const { context } = this.#options;
    const isCut = call.exchange.hasBegun;
    call.exchange.refuse(refusal, {
      dialect: context.dialect,
      requestId: call.request.id,
    });
    context.metrics.refusals.inc({ reason: refusal.kind });
    return {
      outcome: refusal.outcome,
      status: 0,
      detail: isCut ? `cut off: ${refusal.kind}` : refusal.kind,
    };
  }
}

/** A target that is listed anew, or a slot, comes within about a second. */
const RETRY_LATER = { retryAfter: 1_000 };

function createGone(progress: CallProgress): CallEnd {
  return {
    outcome: progress.runs > 0 ? RequestOutcome.Unknown : RequestOutcome.NotRun,
    status: 0,
    detail: "the caller left",
  };
}
