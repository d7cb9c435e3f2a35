/**
 * Runs a request at model engines until its complete answer has arrived.
 *
 * Each attempt has its own token reservation, because the usage of a broken
 * attempt may never be known. An attempt after the first resumes the stream at
 * the position where the previous one stopped.
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
import type { RequestRun } from "./request_run.ts";
import {
  type AttemptInput,
  AttemptRunner,
  type FinishedAttempt,
} from "./attempt_runner.ts";
import type { CallerRequest } from "./caller_request.ts";
import { createUnknownOutcomeRefusal } from "../../runtime/mod.ts";
import type { RunDependencies } from "./run_dependencies.ts";

/** Maximum wait for an engine to report the usage of a cancelled stream. */
const CANCEL_TIMEOUT: Millis = 1_000;

/** Executes one request at model engines and ends its run. */
export class EngineRequestExecutor {
  readonly #dependencies: RunDependencies;
  readonly #request: CallerRequest;
  readonly #run: RequestRun;
  readonly #attempts: AttemptRunner;
  #streamId = "";
  #outputTokens: Tokens = 0;
  /** Tokens to bill for the complete answer, including the prompt. */
  #billedTokens: Tokens = 0;

  constructor(
    dependencies: RunDependencies,
    input: { readonly request: CallerRequest; readonly run: RequestRun },
  ) {
    this.#dependencies = dependencies;
    this.#request = input.request;
    this.#run = input.run;
    this.#attempts = new AttemptRunner(dependencies, {
      request: input.request,
      abandoned: input.run.abandoned,
    });
  }

  /** Runs attempts until one completes or no retry is allowed; ends the run. */
  async execute(): Promise<void> {
    const reserved = await this.#reserve();
    if (reserved.isLeft()) {
      return this.#refuse(reserved.swap().unsafeCoerce());
    }
    const started = await this.#attempts.start();
    if (started.isLeft()) {
      this.#dependencies.escrow.settle(reserved.unsafeCoerce(), 0);
      return this.#refuse(started.swap().unsafeCoerce());
    }
    const complete = await this.#runAttempts(
      started.unsafeCoerce(),
      reserved.unsafeCoerce(),
    );
    this.#attempts.finish({ tokens: this.#billedTokens, complete });
  }

  /** Runs the attempts. Returns whether the complete answer arrived. */
  async #runAttempts(
    first: TargetConfig,
    reservation: Reservation,
  ): Promise<boolean> {
    let target = first;
    let currentReservation = reservation;
    for (;;) {
      this.#streamId = randomUUID();
      const finished = await this.#attempts.run(
        target,
        (input) => this.#stream(input),
      );
      const usage = await this.#findUsage(finished);
      this.#settle(currentReservation, { result: finished.result, usage });
      if (finished.result.end === AttemptEnd.Complete) {
        await this.#complete(finished.result);
        return true;
      }
      if (this.#run.abandoned.aborted) return false;
      const appendedChunks = this.#run.readChunks().length;
      const next = await this.#attempts.chooseNextTarget(
        finished,
        appendedChunks,
      );
      if (next.isLeft()) {
        this.#refuse(next.swap().unsafeCoerce());
        return false;
      }
      target = next.unsafeCoerce();
      const nextReservation = await this.#reserve();
      if (nextReservation.isLeft()) {
        this.#attempts.endUnsent(target);
        this.#refuse(nextReservation.swap().unsafeCoerce());
        return false;
      }
      currentReservation = nextReservation.unsafeCoerce();
    }
  }

  #reserve() {
    const { event, promptBound, outputBound, kind, deadline } = this.#request;
    return this.#dependencies.escrow.reserve(event, {
      tokens: promptBound + outputBound + kind.flatTokens,
      deadline,
    });
  }

  async #stream(input: AttemptInput): Promise<TargetResult> {
    const { service, kind, body, digest, requestKey } = this.#request;
    const limitAbort = new AbortController();
    const position = this.#run.readChunks().length;
    const streamId = this.#streamId;
    const resume = { streamId, position, tokens: this.#outputTokens };
    const result = await this.#dependencies.context.targets.stream({
      target: input.target,
      path: service.path,
      body,
      priority: kind.priority,
      requestKey,
      digest,
      streamId,
      progressTimeout: input.connectionTimeout,
      ...(position === 0 ? {} : { resume }),
      signal: AbortSignal.any([input.signal, limitAbort.signal]),
    }, (chunk) => {
      input.recordProgress();
      return this.#receiveChunk(chunk, limitAbort);
    });
    // The stream is aborted here only when the engine ignores its token limit;
    // the answer up to the limit is complete.
    return limitAbort.signal.aborted
      ? { ...result, end: AttemptEnd.Complete }
      : result;
  }

  #receiveChunk(
    chunk: StreamChunk,
    limitAbort: AbortController,
  ): Promise<void> | void {
    if (limitAbort.signal.aborted) return;
    const tokens = this.#outputTokens + chunk.tokens;
    // The 1 is for the last chunk: it carries no text, but counts as one token
    // when it has no usage.
    if (tokens > this.#request.outputBound + 1) return limitAbort.abort();
    this.#outputTokens += chunk.tokens;
    return this.#run.append(chunk.data);
  }

  /**
   * Returns the token usage of an attempt, or undefined when it is unknown.
   * After an interrupted stream, the engine reports it in its answer to the
   * cancellation of the stream.
   */
  async #findUsage(
    finished: FinishedAttempt,
  ): Promise<TokenUsage | undefined> {
    const { result, target } = finished;
    if (result.usage !== undefined) return result.usage;
    const interrupted = result.end === AttemptEnd.Broken ||
      result.end === AttemptEnd.Cancelled;
    if (!interrupted) return undefined;
    return await this.#dependencies.context.targets.cancel(target, {
      streamId: this.#streamId,
      timeout: CANCEL_TIMEOUT,
    });
  }

  /** Settles the reservation; when the usage is unknown, all of it is spent. */
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
    this.#billedTokens = prompt + output + kind.flatTokens;
    const spent = hasUsedNoTokens(result)
      ? 0
      : usage === undefined
      ? undefined
      : Math.min(
        usage.promptTokens + usage.outputTokens + kind.flatTokens,
        reservation.tokens,
      );
    this.#dependencies.escrow.settle(reservation, spent);
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
    await this.#dependencies.addBill(this.#request, this.#billedTokens);
    this.#run.finish({ type: "streamed" });
  }

  /**
   * Ends the run with the refusal. Once a target may have run the request, the
   * outcome is reported as unknown, because work that a target has begun cannot
   * be undone.
   */
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

/** Returns whether the result proves that the attempt used no tokens. */
function hasUsedNoTokens(result: TargetResult): boolean {
  if (result.end === AttemptEnd.NotSent) return true;
  if (result.end === AttemptEnd.Refused) return true;
  return result.end === AttemptEnd.Complete && result.status !== 200;
}
