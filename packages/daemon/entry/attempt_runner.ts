/**
 * The attempts of one request: each is watched for silence, counted for
 * routing, and followed by the next one as the retry rules allow.
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
import type { RunServices } from "./run_services.ts";

/** Pause before a target is looked for again when none is usable. */
const NO_TARGET_PAUSE: Millis = 200;

const RETRY_AFTER: Millis = 1_000;

/**
 * Progress timeouts after which the connection itself gives up; until then the
 * silence watch decides.
 */
const CONNECTION_TIMEOUTS = 8;

/** What an attempt is given. */
export interface AttemptInput {
  readonly target: TargetConfig;
  /** Longest silence of the connection itself. */
  readonly connectionTimeout: Millis;
  /** Aborts when the attempt must end. */
  readonly signal: AbortSignal;
  /** Is to be called when something of the answer arrives. */
  readonly recordProgress: () => void;
}

/** Carries out one attempt. */
export type PerformAttempt = (input: AttemptInput) => Promise<TargetResult>;

/** How an attempt ended. */
export interface FinishedAttempt {
  readonly target: TargetConfig;
  /** Its end is `broken` when the attempt was cut off for its silence. */
  readonly result: TargetResult;
  /** Whether the target, or the path to it, is known to be lost. */
  readonly lost: boolean;
}

/** Runs the attempts of one request. */
export class AttemptRunner {
  readonly #services: RunServices;
  readonly #request: CallerRequest;
  readonly #abandoned: AbortSignal;
  readonly #ticket: Ticket;
  readonly #tried: TargetId[] = [];
  #attempts = 0;
  #replacements = 0;
  #mayHaveRun = false;

  constructor(
    services: RunServices,
    input: { readonly request: CallerRequest; readonly abandoned: AbortSignal },
  ) {
    this.#services = services;
    this.#request = input.request;
    this.#abandoned = input.abandoned;
    this.#ticket = createTicket(input.request);
  }

  /** Whether bytes of the request may have reached a target. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Waits for its turn; returns the target of the first attempt. */
  async start(): Promise<Either<Refusal, TargetConfig>> {
    const { traffic } = this.#services;
    const started = await new Promise<Either<Refusal, TargetConfig>>(
      (resolve) => {
        this.#abandoned.addEventListener("abort", () => {
          resolve(Left(createRefusal(RefusalKind.Overloaded)));
        }, { once: true });
        traffic.admit({
          ticket: this.#ticket,
          routed: this.#createRouted(),
          start: (target) => resolve(Right(target)),
          refuse: (refusal) => resolve(Left(refusal)),
        });
      },
    );
    if (started.isLeft()) {
      traffic.finish(this.#ticket, { tokens: 0, complete: false });
    } else {
      const { service } = this.#request;
      traffic.recordFirst(service.id, service.retryRatio);
    }
    return started;
  }

  /** Ends the request's share of capacity. */
  finish(use: { readonly tokens: Tokens; readonly complete: boolean }): void {
    this.#services.traffic.finish(this.#ticket, use);
  }

  /** Counts an attempt out that was planned and never sent. */
  drop(target: TargetConfig): void {
    this.#services.traffic.endAttempt(target.id, {
      request: this.#createRouted(),
      end: AttemptEnd.Cancelled,
      complete: false,
      bytes: 0,
      pathDead: false,
      unread: true,
    });
  }

  /** Runs one attempt at a target that is counted as started. */
  async run(
    target: TargetConfig,
    perform: PerformAttempt,
  ): Promise<FinishedAttempt> {
    this.#tried.push(target.id);
    this.#attempts++;
    const watch = new SilenceWatch(this.#services, {
      target,
      request: this.#request,
    });
    // One controller with a listener costs less than a combined signal.
    const abandon = () => watch.abandon();
    this.#abandoned.addEventListener("abort", abandon, { once: true });
    if (this.#abandoned.aborted) abandon();
    const { progressTimeout } = this.#request.service;
    const performed = await perform({
      target,
      connectionTimeout: progressTimeout * CONNECTION_TIMEOUTS,
      signal: watch.signal,
      recordProgress: () => {
        if (watch.recordProgress()) this.#recordFirstChunk(target);
      },
    });
    watch.stop();
    this.#abandoned.removeEventListener("abort", abandon);
    const result = watch.isCut && performed.end === AttemptEnd.Cancelled
      ? { ...performed, end: AttemptEnd.Broken, detail: "silent" }
      : performed;
    if (hasReachedTarget(result.end)) this.#mayHaveRun = true;
    const lost = await this.#count(target, { result, watch });
    return { target, result, lost };
  }

  #recordFirstChunk(target: TargetConfig): void {
    const { digest } = this.#request;
    const attempt = { digest, target: target.id };
    this.#services.traffic.recordFirstChunk(this.#ticket, attempt);
  }

  /** Returns the target of the next attempt, or why there is none. */
  async choosePlan(
    failed: FinishedAttempt,
    passedOn: number,
  ): Promise<Either<Refusal, TargetConfig>> {
    for (;;) {
      const decision = this.#decide(failed, passedOn);
      if (decision.action === RetryAction.GiveUp) {
        return Left(this.#createGiveUp(decision.outcome));
      }
      await sleep(decision.after);
      if (decision.action === RetryAction.Wait) continue;
      if (decision.extra === ExtraAttempt.Replacement) this.#replacements++;
      return await this.#chooseNext();
    }
  }

  #decide(failed: FinishedAttempt, passedOn: number) {
    const { service, kind, digest, deadline } = this.#request;
    const { traffic } = this.#services;
    // Targets that check request keys make a second call harmless.
    const repeatability = service.checksRequestKeys
      ? Repeatability.Repeatable
      : kind.repeatability;
    return traffic.decideRetry({
      service: service.id,
      repeatability,
      end: failed.result.end,
      lost: failed.lost,
      mayHaveRun: this.#mayHaveRun,
      attempts: this.#attempts,
      replacements: this.#replacements,
      passedOn,
      resumable: service.type === ServiceType.ModelEngine,
      quarantined: traffic.isQuarantined(digest),
      deadline,
    });
  }

  /** A target that was tried is used again only when no other is left. */
  async #chooseNext(): Promise<Either<Refusal, TargetConfig>> {
    const { traffic, context } = this.#services;
    const routed = this.#createRouted();
    for (;;) {
      const chosen = traffic.choose(routed)
        .alt(traffic.choose({ ...routed, tried: this.#tried.slice(-1) }))
        .alt(traffic.choose({ ...routed, tried: [] }));
      if (chosen.isRight()) {
        traffic.startAttempt(chosen.unsafeCoerce().id, routed);
        return chosen;
      }
      const now = context.clock.readMonotonic();
      if (now + NO_TARGET_PAUSE >= this.#request.deadline) {
        return this.#mayHaveRun
          ? Left(this.#createGiveUp(RequestOutcome.Unknown))
          : chosen;
      }
      await sleep(NO_TARGET_PAUSE);
    }
  }

  async #count(
    target: TargetConfig,
    input: { readonly result: TargetResult; readonly watch: SilenceWatch },
  ): Promise<boolean> {
    const { traffic, context } = this.#services;
    const { result, watch } = input;
    const request = this.#createRouted();
    const unread = !watch.isBegun;
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
    if (await this.#isTargetLost(target, { result, watch })) {
      const { end } = result;
      await traffic.endCrashedAttempt(target.id, { request, end, unread });
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
      unread,
    });
    return pathDead;
  }

  /** A broken attempt whose target answers over a new connection lost its path. */
  async #isTargetLost(
    target: TargetConfig,
    input: { readonly result: TargetResult; readonly watch: SilenceWatch },
  ): Promise<boolean> {
    const { end } = input.result;
    if (input.watch.isCut) return input.watch.isTargetDead;
    if (end !== AttemptEnd.Broken) return false;
    const report = await this.#services.traffic.probe(target);
    return report === undefined;
  }

  #createRouted(): RoutedRequest {
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

  #createGiveUp(outcome: RequestOutcome): Refusal {
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

/** Watches one attempt for silence and cuts it off when its path is dead. */
class SilenceWatch {
  readonly #services: RunServices;
  readonly #target: TargetConfig;
  readonly #progressTimeout: Millis;
  readonly #controller = new AbortController();
  #lastProgress: MonotonicTime;
  #begun = false;
  #cause: SilenceAction | undefined;
  #timer: NodeJS.Timeout;

  constructor(
    services: RunServices,
    input: { readonly target: TargetConfig; readonly request: CallerRequest },
  ) {
    this.#services = services;
    this.#target = input.target;
    this.#progressTimeout = input.request.service.progressTimeout;
    this.#lastProgress = services.context.clock.readMonotonic();
    this.#timer = setTimeout(() => void this.#look(), this.#progressTimeout);
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether any part of an answer has come. */
  get isBegun(): boolean {
    return this.#begun;
  }

  get isCut(): boolean {
    return this.#cause !== undefined;
  }

  get isTargetDead(): boolean {
    return this.#cause === SilenceAction.TargetDead;
  }

  /** Returns true for the first progress of the attempt. */
  recordProgress(): boolean {
    const first = !this.#begun;
    this.#lastProgress = this.#services.context.clock.readMonotonic();
    this.#begun = true;
    return first;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Ends the attempt because nobody waits for it. */
  abandon(): void {
    this.#controller.abort();
  }

  async #look(): Promise<void> {
    const { clock } = this.#services.context;
    const silence = clock.readMonotonic() - this.#lastProgress;
    if (silence < this.#progressTimeout) {
      return this.#lookAgain(this.#progressTimeout - silence);
    }
    const load = await this.#services.traffic.probe(this.#target);
    const now = clock.readMonotonic();
    const probe = load === undefined ? { at: now } : { at: now, load };
    const action = decideSilence({
      lastProgress: this.#lastProgress,
      begun: this.#begun,
      progressTimeout: this.#progressTimeout,
      capacity: this.#target.capacity,
      probe,
    }, now);
    if (action === SilenceAction.Wait || action === SilenceAction.Probe) {
      return this.#lookAgain(this.#progressTimeout);
    }
    this.#cause = action;
    this.#controller.abort();
  }

  #lookAgain(after: Millis): void {
    this.#timer = setTimeout(() => void this.#look(), after);
  }
}
