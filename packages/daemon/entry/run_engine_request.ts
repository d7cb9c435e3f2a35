/**
 * Runs a request at model engines until its whole answer has arrived.
 *
 * Each attempt has a reservation of its own, since a broken attempt may have
 * used tokens that nobody can count. An attempt after the first goes on at the
 * position where the last one stopped.
 */
import { randomUUID } from "node:crypto";
import type { Reservation } from "../../budget/mod.ts";
import {
  type Millis,
  type Refusal,
  RefusalKind,
  type TargetConfig,
  type Tokens,
} from "../../core/mod.ts";
import {
  AttemptEnd,
  type StreamChunk,
  type TargetResult,
  type TokenUsage,
} from "../../ports/mod.ts";
import type { AnswerRun } from "./answer_run.ts";
import {
  type AttemptInput,
  AttemptRunner,
  type FinishedAttempt,
} from "./attempt_runner.ts";
import type { CallerRequest } from "./caller_request.ts";
import { createUnknownOutcomeRefusal } from "../../runtime/mod.ts";
import type { RunServices } from "./run_services.ts";

/** Longest wait for an engine to say what a cancelled stream used. */
const CANCEL_TIMEOUT: Millis = 1_000;

/** Runs one engine request to its end. */
export class EngineRequestRun {
  readonly #services: RunServices;
  readonly #request: CallerRequest;
  readonly #run: AnswerRun;
  readonly #attempts: AttemptRunner;
  #streamId = "";
  #outputTokens: Tokens = 0;
  /** Tokens of the whole answer, prompt included, once it is known. */
  #billed: Tokens = 0;

  constructor(
    services: RunServices,
    input: { readonly request: CallerRequest; readonly run: AnswerRun },
  ) {
    this.#services = services;
    this.#request = input.request;
    this.#run = input.run;
    this.#attempts = new AttemptRunner(services, {
      request: input.request,
      abandoned: input.run.abandoned,
    });
  }

  /** Runs attempts until one completes or none is left; ends the run. */
  async execute(): Promise<void> {
    const reserved = await this.#reserve();
    if (reserved.isLeft()) {
      return this.#refuse(reserved.swap().unsafeCoerce());
    }
    const started = await this.#attempts.start();
    if (started.isLeft()) {
      this.#services.escrow.settle(reserved.unsafeCoerce(), 0);
      return this.#refuse(started.swap().unsafeCoerce());
    }
    const complete = await this.#runAttempts(
      started.unsafeCoerce(),
      reserved.unsafeCoerce(),
    );
    this.#attempts.finish({ tokens: this.#billed, complete });
  }

  /** Returns whether the whole answer arrived. */
  async #runAttempts(
    first: TargetConfig,
    reservation: Reservation,
  ): Promise<boolean> {
    let target = first;
    let held = reservation;
    for (;;) {
      this.#streamId = randomUUID();
      const finished = await this.#attempts.run(
        target,
        (input) => this.#stream(input),
      );
      const usage = await this.#findUsage(finished);
      this.#settle(held, { result: finished.result, usage });
      if (finished.result.end === AttemptEnd.Complete) {
        await this.#complete(finished.result);
        return true;
      }
      if (this.#run.abandoned.aborted) return false;
      const passedOn = this.#run.readChunks().length;
      const next = await this.#attempts.choosePlan(finished, passedOn);
      if (next.isLeft()) {
        this.#refuse(next.swap().unsafeCoerce());
        return false;
      }
      target = next.unsafeCoerce();
      const again = await this.#reserve();
      if (again.isLeft()) {
        this.#attempts.drop(target);
        this.#refuse(again.swap().unsafeCoerce());
        return false;
      }
      held = again.unsafeCoerce();
    }
  }

  #reserve() {
    const { event, promptBound, outputBound, kind, deadline } = this.#request;
    return this.#services.escrow.reserve(event, {
      tokens: promptBound + outputBound + kind.flatTokens,
      deadline,
    });
  }

  async #stream(input: AttemptInput): Promise<TargetResult> {
    const { service, kind, body, digest, requestKey } = this.#request;
    const cut = new AbortController();
    const position = this.#run.readChunks().length;
    const streamId = this.#streamId;
    const resume = { streamId, position, tokens: this.#outputTokens };
    const result = await this.#services.context.targets.stream({
      target: input.target,
      path: service.path,
      body,
      priority: kind.priority,
      requestKey,
      digest,
      streamId,
      progressTimeout: input.connectionTimeout,
      ...(position === 0 ? {} : { resume }),
      signal: AbortSignal.any([input.signal, cut.signal]),
    }, (chunk) => {
      input.recordProgress();
      return this.#receive(chunk, cut);
    });
    // An engine that ignores its limit was cut off: the answer is whole.
    return cut.signal.aborted
      ? { ...result, end: AttemptEnd.Complete }
      : result;
  }

  #receive(chunk: StreamChunk, cut: AbortController): Promise<void> | void {
    if (cut.signal.aborted) return;
    const tokens = this.#outputTokens + chunk.tokens;
    // The last chunk carries no text, and without usage it counts as one token.
    if (tokens > this.#request.outputBound + 1) return cut.abort();
    this.#outputTokens += chunk.tokens;
    return this.#run.append(chunk.data);
  }

  /** Returns what an attempt used, asking the engine if it broke off. */
  async #findUsage(
    finished: FinishedAttempt,
  ): Promise<TokenUsage | undefined> {
    const { result, target } = finished;
    if (result.usage !== undefined) return result.usage;
    const cut = result.end === AttemptEnd.Broken ||
      result.end === AttemptEnd.Cancelled;
    if (!cut) return undefined;
    return await this.#services.context.targets.cancel(target, {
      streamId: this.#streamId,
      timeout: CANCEL_TIMEOUT,
    });
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
    const { promptBound, kind } = this.#request;
    const prompt = usage?.promptTokens ?? promptBound;
    const output = Math.max(this.#outputTokens, usage?.outputTokens ?? 0);
    this.#billed = prompt + output + kind.flatTokens;
    const known = isFree(result)
      ? 0
      : usage === undefined
      ? undefined
      : Math.min(
        usage.promptTokens + usage.outputTokens + kind.flatTokens,
        reservation.tokens,
      );
    this.#services.escrow.settle(reservation, known);
  }

  async #complete(result: TargetResult): Promise<void> {
    if (result.status !== 200) {
      return this.#run.finish({
        type: "answered",
        status: result.status ?? 502,
        contentType: result.contentType ?? "application/json",
        body: result.body,
      });
    }
    await this.#services.addBill(this.#request, this.#billed);
    this.#run.finish({ type: "streamed" });
  }

  /** An answer that has begun cannot be taken back. */
  #refuse(refusal: Refusal): void {
    const end = this.#attempts.mayHaveRun
      ? createUnknownOutcomeRefusal(
        RefusalKind.TargetFailed,
        refusal.retryAfter === undefined
          ? {}
          : { retryAfter: refusal.retryAfter },
      )
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
