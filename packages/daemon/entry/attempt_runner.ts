/**
 * Runs the attempts of one request at targets. Each attempt is monitored for
 * progress and recorded in the routing state; the retry rules decide whether
 * another attempt follows a failed one.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { type Either, Left, Right } from "purify-ts";
import {
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  Repeatability,
  RequestOutcome,
  ServiceType,
  type TargetConfig,
  type TargetId,
  type Tokens,
} from "../../core/mod.ts";
import { AttemptEnd, type TargetResult } from "../../ports/mod.ts";
import {
  decideSilence,
  ExtraAttempt,
  hasReachedTarget,
  RetryAction,
  type RoutedRequest,
  SilenceAction,
  type Ticket,
} from "../../routing/mod.ts";
import {
  createRefusal,
  createUnknownOutcomeRefusal,
  LogEvent,
} from "../../runtime/mod.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { RunDependencies } from "./run_dependencies.ts";

/** Delay before the next choice of a target when none is usable. */
const NO_TARGET_RETRY_DELAY: Millis = 200;

const RETRY_AFTER: Millis = 1_000;

/**
 * Timeout of the connection itself, as a multiple of the service's progress
 * timeout. Within it, ProgressMonitor decides whether an attempt is aborted.
 */
const CONNECTION_TIMEOUT_FACTOR = 8;

/** Parameters of one attempt. */
export interface AttemptInput {
  readonly target: TargetConfig;
  /** Maximum time without data before the connection itself times out. */
  readonly connectionTimeout: Millis;
  /** Aborts when the attempt must stop. */
  readonly signal: AbortSignal;
  /** Must be called whenever a part of the answer arrives. */
  readonly recordProgress: () => void;
}

/** Sends the request to the target and resolves when the attempt has ended. */
export type PerformAttempt = (input: AttemptInput) => Promise<TargetResult>;

/** How an attempt ended. */
export interface FinishedAttempt {
  readonly target: TargetConfig;
  /** Its end is `broken` when the attempt was aborted for lack of progress. */
  readonly result: TargetResult;
  /** Whether the target, or the network path to it, is known to have failed. */
  readonly lost: boolean;
}

/** Runs the attempts of one request. */
export class AttemptRunner {
  readonly #dependencies: RunDependencies;
  readonly #request: CallerRequest;
  readonly #abandoned: AbortSignal;
  readonly #ticket: Ticket;
  readonly #tried: TargetId[] = [];
  #attemptCount = 0;
  #replacementCount = 0;
  #mayHaveRun = false;

  constructor(
    dependencies: RunDependencies,
    input: { readonly request: CallerRequest; readonly abandoned: AbortSignal },
  ) {
    this.#dependencies = dependencies;
    this.#request = input.request;
    this.#abandoned = input.abandoned;
    this.#ticket = createTicket(input.request);
  }

  /** Whether the request may have reached a target in an ended attempt. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /**
   * Waits until admission control starts the request. Returns the target of the
   * first attempt, which already counts as started there, or the refusal.
   */
  async start(): Promise<Either<Refusal, TargetConfig>> {
    const { traffic } = this.#dependencies;
    const started = await new Promise<Either<Refusal, TargetConfig>>(
      (resolve) => {
        this.#abandoned.addEventListener("abort", () => {
          resolve(Left(createRefusal(RefusalKind.Overloaded)));
        }, { once: true });
        traffic.admit({
          ticket: this.#ticket,
          routed: this.#createRoutedRequest(),
          start: (target) => resolve(Right(target)),
          refuse: (refusal) => resolve(Left(refusal)),
        });
      },
    );
    if (started.isLeft()) {
      traffic.finish(this.#ticket, { tokens: 0, complete: false });
    } else {
      const { service } = this.#request;
      traffic.recordFirstAttempt(service.id, service.retryRatio);
    }
    return started;
  }

  /** Releases the capacity that the request occupies since its admission. */
  finish(usage: { readonly tokens: Tokens; readonly complete: boolean }): void {
    this.#dependencies.traffic.finish(this.#ticket, usage);
  }

  /** Records the end of an attempt that counts as started but was never sent. */
  endUnsent(target: TargetConfig): void {
    this.#dependencies.traffic.endAttempt(target.id, {
      request: this.#createRoutedRequest(),
      end: AttemptEnd.Cancelled,
      complete: false,
      bytes: 0,
      pathDead: false,
      beforeFirstChunk: true,
    });
  }

  /** Runs one attempt at a target where it already counts as started. */
  async run(
    target: TargetConfig,
    perform: PerformAttempt,
  ): Promise<FinishedAttempt> {
    this.#tried.push(target.id);
    this.#attemptCount++;
    const monitor = new ProgressMonitor(this.#dependencies, {
      target,
      request: this.#request,
    });
    // Listening for the abort costs less than combining two signals with
    // AbortSignal.any().
    const abandon = () => monitor.abandon();
    this.#abandoned.addEventListener("abort", abandon, { once: true });
    if (this.#abandoned.aborted) abandon();
    const { progressTimeout } = this.#request.service;
    const performed = await perform({
      target,
      connectionTimeout: progressTimeout * CONNECTION_TIMEOUT_FACTOR,
      signal: monitor.signal,
      recordProgress: () => {
        if (monitor.recordProgress()) this.#recordFirstChunk(target);
      },
    });
    monitor.stop();
    this.#abandoned.removeEventListener("abort", abandon);
    const result = monitor.hasTimedOut && performed.end === AttemptEnd.Cancelled
      ? { ...performed, end: AttemptEnd.Broken, detail: "silent" }
      : performed;
    if (hasReachedTarget(result.end)) this.#mayHaveRun = true;
    const lost = await this.#recordEnd(target, { result, monitor });
    return { target, result, lost };
  }

  #recordFirstChunk(target: TargetConfig): void {
    const { digest } = this.#request;
    const attempt = { digest, target: target.id };
    this.#dependencies.traffic.recordFirstChunk(this.#ticket, attempt);
  }

  /**
   * Waits for the backoff and returns the target of the next attempt, which
   * then counts as started there, or the refusal when there is no next attempt.
   *
   * @param appendedChunks number of chunks already appended to the answer
   */
  async chooseNextTarget(
    failed: FinishedAttempt,
    appendedChunks: number,
  ): Promise<Either<Refusal, TargetConfig>> {
    for (;;) {
      const decision = this.#decideRetry(failed, appendedChunks);
      if (decision.action === RetryAction.GiveUp) {
        return Left(this.#createFinalRefusal(decision.outcome));
      }
      await sleep(decision.after);
      if (decision.action === RetryAction.Wait) continue;
      if (decision.extra === ExtraAttempt.Replacement) this.#replacementCount++;
      return await this.#chooseUsableTarget();
    }
  }

  #decideRetry(failed: FinishedAttempt, appendedChunks: number) {
    const { service, kind, digest, deadline } = this.#request;
    const { traffic } = this.#dependencies;
    // Targets that deduplicate by request key make any call safe to repeat.
    const repeatability = service.checksRequestKeys
      ? Repeatability.Repeatable
      : kind.repeatability;
    return traffic.decideRetry({
      service: service.id,
      repeatability,
      end: failed.result.end,
      lost: failed.lost,
      mayHaveRun: this.#mayHaveRun,
      attempts: this.#attemptCount,
      replacements: this.#replacementCount,
      passedOn: appendedChunks,
      resumable: service.type === ServiceType.ModelEngine,
      quarantined: traffic.isQuarantined(digest),
      deadline,
    });
  }

  /**
   * Chooses the target of the next attempt. Prefers targets that were not tried
   * yet, then any but the last one, and the last one only when no other is left.
   */
  async #chooseUsableTarget(): Promise<Either<Refusal, TargetConfig>> {
    const { traffic, context } = this.#dependencies;
    const routed = this.#createRoutedRequest();
    for (;;) {
      const chosen = traffic.choose(routed)
        .alt(traffic.choose({ ...routed, tried: this.#tried.slice(-1) }))
        .alt(traffic.choose({ ...routed, tried: [] }));
      if (chosen.isRight()) {
        traffic.startAttempt(chosen.unsafeCoerce().id, routed);
        return chosen;
      }
      const now = context.clock.readMonotonic();
      if (now + NO_TARGET_RETRY_DELAY >= this.#request.deadline) {
        return this.#mayHaveRun
          ? Left(this.#createFinalRefusal(RequestOutcome.Unknown))
          : chosen;
      }
      await sleep(NO_TARGET_RETRY_DELAY);
    }
  }

  async #recordEnd(
    target: TargetConfig,
    input: { readonly result: TargetResult; readonly monitor: ProgressMonitor },
  ): Promise<boolean> {
    const { traffic, context } = this.#dependencies;
    const { result, monitor } = input;
    const request = this.#createRoutedRequest();
    const beforeFirstChunk = !monitor.hasProgress;
    const { service, kind } = this.#request;
    context.metrics.attempts.inc({ service: service.id, end: result.end });
    const complete = result.end === AttemptEnd.Complete;
    if (!complete && result.end !== AttemptEnd.Cancelled) {
      context.log.warn(LogEvent.AttemptFailed, {
        target: target.id,
        kind: kind.id,
        end: result.end,
        detail: result.detail,
      });
    }
    if (await this.#isTargetLost(target, { result, monitor })) {
      const { end } = result;
      await traffic.endCrashedAttempt(target.id, {
        request,
        end,
        beforeFirstChunk,
      });
      return true;
    }
    const pathDead = result.end === AttemptEnd.Broken;
    if (pathDead) context.targets.dropPool(target.id);
    const bytes = result.bytesSent + result.bytesReceived;
    const { end } = result;
    traffic.endAttempt(target.id, {
      request,
      end,
      complete,
      bytes,
      pathDead,
      beforeFirstChunk,
    });
    return pathDead;
  }

  /**
   * Returns whether the target itself has failed. When an attempt breaks but
   * the target answers a probe over a new connection, only the network path of
   * the attempt has failed.
   */
  async #isTargetLost(
    target: TargetConfig,
    input: { readonly result: TargetResult; readonly monitor: ProgressMonitor },
  ): Promise<boolean> {
    const { end } = input.result;
    if (input.monitor.hasTimedOut) return input.monitor.isTargetDead;
    if (end !== AttemptEnd.Broken) return false;
    const report = await this.#dependencies.traffic.probe(target);
    return report === undefined;
  }

  #createRoutedRequest(): RoutedRequest {
    const { service, customer, digest, kind, body, prefixes } = this.#request;
    return {
      service: service.id,
      customer: customer.id,
      digest,
      tried: this.#tried,
      priority: kind.priority,
      prefixes,
      promptTokens: this.#ticket.promptTokens ?? 0,
      expectedBytes: body.length,
      ...(service.model === undefined ? {} : { models: [service.model] }),
    };
  }

  #createFinalRefusal(outcome: RequestOutcome): Refusal {
    if (outcome === RequestOutcome.NotRun) {
      return createRefusal(RefusalKind.NoTarget, { retryAfter: RETRY_AFTER });
    }
    if (this.#request.kind.repeatability === Repeatability.Once) {
      return createUnknownOutcomeRefusal(RefusalKind.OutcomeUnknown);
    }
    return createUnknownOutcomeRefusal(RefusalKind.TargetFailed, {
      retryAfter: RETRY_AFTER,
    });
  }
}

function createTicket(request: CallerRequest): Ticket {
  return {
    id: randomUUID(),
    customer: request.customer.id,
    service: request.service.id,
    kind: request.kind.id,
    priority: request.kind.priority,
    weight: request.customer.weight,
    tokens: request.promptBound + request.outputBound + request.kind.flatTokens,
    deadline: request.deadline,
    arrivedAt: request.arrivedAt,
  };
}

/**
 * Monitors the progress of one attempt. After a progress timeout without data
 * it probes the target, and aborts the attempt when the target or the network
 * path to it has failed.
 */
class ProgressMonitor {
  readonly #dependencies: RunDependencies;
  readonly #target: TargetConfig;
  readonly #progressTimeout: Millis;
  readonly #controller = new AbortController();
  #lastProgress: MonotonicTime;
  #hasBegun = false;
  #abortCause: SilenceAction | undefined;
  #timer: NodeJS.Timeout;

  constructor(
    dependencies: RunDependencies,
    input: { readonly target: TargetConfig; readonly request: CallerRequest },
  ) {
    this.#dependencies = dependencies;
    this.#target = input.target;
    this.#progressTimeout = input.request.service.progressTimeout;
    this.#lastProgress = dependencies.context.clock.readMonotonic();
    this.#timer = setTimeout(() => void this.#check(), this.#progressTimeout);
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether any part of the answer has arrived. */
  get hasProgress(): boolean {
    return this.#hasBegun;
  }

  get hasTimedOut(): boolean {
    return this.#abortCause !== undefined;
  }

  get isTargetDead(): boolean {
    return this.#abortCause === SilenceAction.TargetDead;
  }

  /** Records progress. Returns true for the first progress of the attempt. */
  recordProgress(): boolean {
    const first = !this.#hasBegun;
    this.#lastProgress = this.#dependencies.context.clock.readMonotonic();
    this.#hasBegun = true;
    return first;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Aborts the attempt because no caller waits for it any more. */
  abandon(): void {
    this.#controller.abort();
  }

  async #check(): Promise<void> {
    const { clock } = this.#dependencies.context;
    const idleTime = clock.readMonotonic() - this.#lastProgress;
    if (idleTime < this.#progressTimeout) {
      return this.#scheduleCheck(this.#progressTimeout - idleTime);
    }
    const load = await this.#dependencies.traffic.probe(this.#target);
    const now = clock.readMonotonic();
    const probe = load === undefined ? { at: now } : { at: now, load };
    const action = decideSilence({
      lastProgress: this.#lastProgress,
      begun: this.#hasBegun,
      progressTimeout: this.#progressTimeout,
      capacity: this.#target.capacity,
      probe,
    }, now);
    if (action === SilenceAction.Wait || action === SilenceAction.Probe) {
      return this.#scheduleCheck(this.#progressTimeout);
    }
    this.#abortCause = action;
    this.#controller.abort();
  }

  #scheduleCheck(after: Millis): void {
    this.#timer = setTimeout(() => void this.#check(), after);
  }
}
