/**
 * Runs a request at model engines until its whole answer has arrived.
 *
 * Each attempt has a reservation of its own, since a broken attempt may have
 * used tokens that nobody can count. An attempt after the first goes on at the
 * position where the last one stopped.
 */
import { randomUUID } from "node:crypto";
import type { Either } from "purify-ts";
import {
  type Millis,
  type Refusal,
  RefusalKind,
  type TargetConfig,
  type TargetId,
  type Tokens,
} from "../../core/mod.ts";
import type { Reservation } from "../../budget/mod.ts";
import {
  AttemptEnd,
  type StreamChunk,
  type TargetResult,
  type TokenUsage,
} from "../../platform/mod.ts";
import { LogEvent } from "../event_log.ts";
import type { AnswerRun } from "./answer_run.ts";
import type { CallerRequest } from "./caller_request.ts";
import { createUnknown } from "./refusals.ts";
import type { RunServices } from "./run_services.ts";

/** Attempts at targets for one request. */
export const MAX_ATTEMPTS = 4;

/** Longest wait for an engine to say what a cancelled stream used. */
const CANCEL_TIMEOUT: Millis = 1_000;

const RETRY_AFTER: Millis = 1_000;

/** Runs one engine request to its end. */
export class EngineRequestRun {
  readonly #services: RunServices;
  readonly #request: CallerRequest;
  readonly #run: AnswerRun;
  readonly #tried: TargetId[] = [];
  #promptTokens: Tokens = 0;
  #outputTokens: Tokens = 0;
  /** True once bytes of the request may have reached a target. */
  #sent = false;

  constructor(
    services: RunServices,
    input: { readonly request: CallerRequest; readonly run: AnswerRun },
  ) {
    this.#services = services;
    this.#request = input.request;
    this.#run = input.run;
  }

  /** Runs attempts until one completes or none is left; ends the run. */
  async execute(): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const reserved = await this.#reserve();
      if (reserved.isLeft()) return this.#giveUp(reserved.extract() as Refusal);
      const chosen = this.#chooseTarget();
      if (chosen.isLeft()) {
        this.#services.escrow.settle(reserved.unsafeCoerce(), 0);
        return this.#giveUp(chosen.extract() as Refusal);
      }
      const done = await this.#attempt(
        chosen.unsafeCoerce(),
        reserved.unsafeCoerce(),
      );
      if (done) return;
    }
    this.#giveUp(
      createUnknown(RefusalKind.TargetFailed, { retryAfter: RETRY_AFTER }),
    );
  }

  #reserve() {
    const { event, promptBound, outputBound, kind, deadline } = this.#request;
    return this.#services.escrow.reserve(event, {
      tokens: promptBound + outputBound + kind.flatTokens,
      deadline,
    });
  }

  /** A target that was tried is used again only when no other is left. */
  #chooseTarget(): Either<Refusal, TargetConfig> {
    const { service, customer, digest } = this.#request;
    const choose = (tried: readonly TargetId[]) =>
      this.#services.router.choose({
        service: service.id,
        customer: customer.id,
        digest,
        tried,
      });
    return choose(this.#tried)
      .alt(choose(this.#tried.slice(-1)))
      .alt(choose([]));
  }

  /** Returns true when the run has ended. */
  async #attempt(
    target: TargetConfig,
    reservation: Reservation,
  ): Promise<boolean> {
    const { router } = this.#services;
    this.#tried.push(target.id);
    const streamId = randomUUID();
    router.startAttempt(target.id);
    const result = await this.#stream(target, streamId);
    router.endAttempt(target.id, result.end);
    this.#report(target, result);
    if (result.end !== AttemptEnd.NotSent) this.#sent = true;
    const usage = await this.#findUsage(target, { streamId, result });
    this.#settle(reservation, { result, usage });
    if (result.end === AttemptEnd.Complete) {
      await this.#complete(result, usage);
      return true;
    }
    return result.end === AttemptEnd.Cancelled;
  }

  #stream(target: TargetConfig, streamId: string): Promise<TargetResult> {
    const { service, kind, body, digest, requestKey } = this.#request;
    const cut = new AbortController();
    const position = this.#run.readChunks().length;
    const signal = AbortSignal.any([this.#run.abandoned, cut.signal]);
    return this.#services.context.targets.stream({
      target,
      path: service.path,
      body,
      priority: kind.priority,
      requestKey,
      digest,
      streamId,
      progressTimeout: service.progressTimeout,
      ...(position === 0
        ? {}
        : { resume: { streamId, position, tokens: this.#outputTokens } }),
      signal,
    }, (chunk) => this.#receive(chunk, cut));
  }

  #receive(chunk: StreamChunk, cut: AbortController): Promise<void> | void {
    // An engine that ignores its limit is cut off at the bound.
    if (this.#outputTokens + chunk.tokens > this.#request.outputBound + 1) {
      return cut.abort();
    }
    this.#outputTokens += chunk.tokens;
    return this.#run.append(chunk.data);
  }

  /** Returns what an attempt used, asking the engine if it broke off. */
  async #findUsage(
    target: TargetConfig,
    input: { readonly streamId: string; readonly result: TargetResult },
  ): Promise<TokenUsage | undefined> {
    const { result, streamId } = input;
    if (result.usage !== undefined) return result.usage;
    const cut = result.end === AttemptEnd.Broken ||
      result.end === AttemptEnd.Cancelled;
    if (!cut) return undefined;
    this.#services.context.targets.dropPool(target.id);
    const options = { streamId, timeout: CANCEL_TIMEOUT };
    return await this.#services.context.targets.cancel(target, options);
  }

  /** Settles what is known to be used; what is not known counts as spent. */
  #settle(
    reservation: Reservation,
    input: {
      readonly result: TargetResult;
      readonly usage: TokenUsage | undefined;
    },
  ): void {
    const { result, usage } = input;
    this.#services.escrow.settle(
      reservation,
      this.#computeSpent({ result, usage, most: reservation.tokens }),
    );
    this.#promptTokens = usage?.promptTokens ?? this.#request.promptBound;
  }

  #computeSpent(input: {
    readonly result: TargetResult;
    readonly usage: TokenUsage | undefined;
    readonly most: Tokens;
  }): Tokens | undefined {
    if (isFree(input.result)) return 0;
    if (input.usage === undefined) return undefined;
    const { promptTokens, outputTokens } = input.usage;
    const used = promptTokens + outputTokens + this.#request.kind.flatTokens;
    return Math.min(used, input.most);
  }

  async #complete(
    result: TargetResult,
    usage: TokenUsage | undefined,
  ): Promise<void> {
    if (result.status !== 200) {
      return this.#run.finish({
        type: "answered",
        status: result.status ?? 502,
        contentType: result.contentType ?? "application/json",
        body: result.body,
      });
    }
    const output = Math.max(this.#outputTokens, usage?.outputTokens ?? 0);
    const tokens = this.#promptTokens + output + this.#request.kind.flatTokens;
    await this.#services.addBill(this.#request, tokens);
    this.#run.finish({ type: "streamed" });
  }

  #report(target: TargetConfig, result: TargetResult): void {
    const { context } = this.#services;
    const { service, kind } = this.#request;
    context.metrics.attempts.inc({ service: service.id, end: result.end });
    if (result.end === AttemptEnd.Complete) return;
    context.log.warn(LogEvent.AttemptFailed, {
      target: target.id,
      kind: kind.id,
      end: result.end,
      detail: result.detail,
    });
  }

  /** Nothing more can be tried: an answer that has begun cannot be taken back. */
  #giveUp(refusal: Refusal): void {
    const end = this.#sent
      ? createUnknown(RefusalKind.TargetFailed, { retryAfter: RETRY_AFTER })
      : refusal;
    this.#run.finish({ type: "refused", refusal: end });
  }
}

/** Says whether the target's answer proves that no token was used. */
function isFree(result: TargetResult): boolean {
  if (result.end === AttemptEnd.NotSent) return true;
  if (result.end === AttemptEnd.Refused) return true;
  return result.end === AttemptEnd.Complete && result.status !== 200;
}
