/**
 * Runs a call of a plain service.
 *
 * A call that may not be repeated is claimed in the table before a byte of it
 * is sent, and is sent again only when the target provably ran nothing, or when
 * the targets check request keys themselves.
 */
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";
import {
  type Millis,
  PlatformErrorKind,
  type Refusal,
  RefusalKind,
  Repeatability,
  RequestOutcome,
  type TargetConfig,
} from "../../core/mod.ts";
import { AttemptEnd, type TargetResult } from "../../ports/mod.ts";
import {
  type ClaimEnd,
  type ClaimInput,
  ClaimState,
  createFinishClaim,
  createTakeClaim,
  HolderState,
  type KeptAnswer,
  planKeptAnswer,
  type TakeClaimResult,
} from "../../request/mod.ts";
import {
  createRefusal,
  createUnknownOutcomeRefusal,
  LogEvent,
} from "../../runtime/mod.ts";
import type { AnswerRun, RunEnd } from "./answer_run.ts";
import { type AttemptInput, AttemptRunner } from "./attempt_runner.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { RunServices } from "./run_services.ts";

const STORE_RETRY_AFTER: Millis = 2_000;
const STILL_RUNNING_RETRY_AFTER: Millis = 1_000;

/** How the attempts of a call ended together. */
type CallOutcome =
  | { readonly type: "ran"; readonly result: TargetResult }
  | { readonly type: "not-run"; readonly refusal: Refusal }
  | { readonly type: "unknown"; readonly refusal: Refusal }
  /** Another attempt holds, or held, the claim: nothing was sent. */
  | { readonly type: "held"; readonly end: RunEnd };

/** Runs one service call to its end. */
export class ServiceRequestRun {
  readonly #services: RunServices;
  readonly #request: CallerRequest;
  readonly #run: AnswerRun;
  readonly #attempts: AttemptRunner;

  constructor(
    services: RunServices,
    input: { readonly request: CallerRequest; readonly run: AnswerRun },
  ) {
    this.#services = services;
    this.#request = input.request;
    this.#run = input.run;
    // A caller that hangs up does not stop what may have begun.
    const abandoned = input.request.kind.repeatability === Repeatability.Once
      ? new AbortController().signal
      : input.run.abandoned;
    const { request } = input;
    this.#attempts = new AttemptRunner(services, { request, abandoned });
  }

  /** Runs the call; ends the run. */
  async execute(): Promise<void> {
    const { kind, event, deadline } = this.#request;
    const reserved = await this.#services.escrow.reserve(event, {
      tokens: kind.flatTokens,
      deadline,
    });
    if (reserved.isLeft()) {
      const refusal = reserved.swap().unsafeCoerce();
      return this.#run.finish({ type: "refused", refusal });
    }
    const outcome = await this.#admit();
    const free = outcome.type === "not-run" || outcome.type === "held";
    const spent = free ? 0 : kind.flatTokens;
    this.#services.escrow.settle(reserved.unsafeCoerce(), spent);
    const complete = outcome.type === "ran";
    this.#attempts.finish({ tokens: spent, complete });
    await this.#finish(outcome);
  }

  async #admit(): Promise<CallOutcome> {
    const started = await this.#attempts.start();
    if (started.isLeft()) {
      return { type: "not-run", refusal: started.swap().unsafeCoerce() };
    }
    const target = started.unsafeCoerce();
    const once = this.#request.kind.repeatability === Repeatability.Once;
    return once
      ? await this.#runClaimed(target)
      : await this.#runAttempts(target);
  }

  async #runClaimed(target: TargetConfig): Promise<CallOutcome> {
    const claim = this.#services.createClaim(this.#request);
    const taken = await this.#takeClaim(claim);
    if (taken.isLeft()) {
      this.#attempts.drop(target);
      return { type: "held", end: taken.swap().unsafeCoerce() };
    }
    const outcome = await this.#runAttempts(target);
    // The claim is finished before the caller hears, so that a retry elsewhere
    // finds what this caller was told.
    await this.#finishClaim(claim, outcome);
    return outcome;
  }

  /** Returns the end of the run when the claim is not this attempt's. */
  async #takeClaim(claim: ClaimInput): Promise<Either<RunEnd, void>> {
    const { writer } = this.#services.context;
    const giveUpAt = this.#request.deadline;
    const answer = await writer.run(createTakeClaim(claim), { giveUpAt });
    const held = answer.caseOf<Either<RunEnd | TakeClaimResult, void>>({
      Left: (error) => {
        // A claim that may have been written is released when possible.
        if (error.kind === PlatformErrorKind.AnswerLost) {
          void this.#finishClaim(claim, {
            type: "not-run",
            refusal: createRefusal(RefusalKind.StoreUnavailable),
          });
        }
        return Left({
          type: "refused",
          refusal: createRefusal(RefusalKind.StoreUnavailable, {
            retryAfter: STORE_RETRY_AFTER,
          }),
        });
      },
      Right: (result) =>
        result.state === ClaimState.Taken ? Right(undefined) : Left(result),
    });
    if (held.isRight()) return Right(undefined);
    const result = held.extract() as TakeClaimResult | RunEnd;
    return Left("state" in result ? await this.#describeHeld(result) : result);
  }

  async #describeHeld(result: TakeClaimResult): Promise<RunEnd> {
    if (result.state === ClaimState.Ran && result.answer !== undefined) {
      return await this.#readAnswer(result.answer);
    }
    if (result.state === ClaimState.OtherBody) {
      const refusal = createRefusal(RefusalKind.RequestKeyReused);
      return { type: "refused", refusal };
    }
    const running = result.holder !== undefined &&
      this.#services.describeHolder(result.holder) === HolderState.Running;
    const refusal = running
      ? createUnknownOutcomeRefusal(RefusalKind.StillRunning, {
        retryAfter: STILL_RUNNING_RETRY_AFTER,
      })
      : createUnknownOutcomeRefusal(RefusalKind.OutcomeUnknown);
    return { type: "refused", refusal };
  }

  /** Returns a kept answer, from its row or from the object store. */
  async #readAnswer(answer: KeptAnswer): Promise<RunEnd> {
    const { status, contentType } = answer;
    if ("bodyBase64" in answer) {
      const body = Buffer.from(answer.bodyBase64, "base64");
      return { type: "answered", status, contentType, body };
    }
    const got = await this.#services.context.objects?.get(answer.objectKey);
    const body = got?.toMaybe().extract();
    if (body !== undefined) {
      return { type: "answered", status, contentType, body };
    }
    const refusal = {
      ...createUnknownOutcomeRefusal(RefusalKind.StillRunning, {
        retryAfter: STORE_RETRY_AFTER,
      }),
      outcome: RequestOutcome.Ran,
      message:
        "This was done, but we cannot show its answer just now. Please ask again shortly with the same Idempotency-Key.",
    };
    return { type: "refused", refusal };
  }

  async #runAttempts(first: TargetConfig): Promise<CallOutcome> {
    let target = first;
    for (;;) {
      const finished = await this.#attempts.run(
        target,
        (input) => this.#call(input),
      );
      const { result } = finished;
      if (result.end === AttemptEnd.Complete) return { type: "ran", result };
      const next = await this.#attempts.choosePlan(finished, 0);
      if (next.isLeft()) {
        const refusal = next.swap().unsafeCoerce();
        return this.#attempts.mayHaveRun
          ? { type: "unknown", refusal }
          : { type: "not-run", refusal };
      }
      target = next.unsafeCoerce();
    }
  }

  #call(input: AttemptInput): Promise<TargetResult> {
    const { service, kind, body, digest, requestKey } = this.#request;
    return this.#services.context.targets.call({
      target: input.target,
      path: service.path,
      body,
      priority: kind.priority,
      requestKey,
      digest,
      progressTimeout: input.connectionTimeout,
      signal: input.signal,
    });
  }

  /** Writes how the call ended; the writer goes on until that is durable. */
  async #finishClaim(claim: ClaimInput, outcome: CallOutcome): Promise<void> {
    const { log } = this.#services.context;
    const inTime = await this.#services.waitBriefly(
      this.#writeClaimEnd(claim, outcome),
    );
    if (!inTime) {
      log.warn(LogEvent.ClaimUnfinished, { request_key: claim.requestKey });
    }
  }

  async #writeClaimEnd(claim: ClaimInput, outcome: CallOutcome): Promise<void> {
    const end = await this.#createClaimEnd(claim, outcome);
    const operation = createFinishClaim(claim, end);
    await this.#services.context.writer.run(operation, { giveUpAt: Infinity });
  }

  async #createClaimEnd(
    claim: ClaimInput,
    outcome: CallOutcome,
  ): Promise<ClaimEnd> {
    if (outcome.type !== "ran") {
      return { state: outcome.type === "unknown" ? "unknown" : "not-run" };
    }
    const { status = 502, contentType = "", body } = outcome.result;
    const plan = planKeptAnswer(claim, { status, contentType, body });
    if (plan.object !== undefined) {
      await this.#services.putObject(plan.object);
    }
    const tokens = this.#request.kind.flatTokens;
    return { state: "ran", answer: plan.answer, tokens };
  }

  async #finish(outcome: CallOutcome): Promise<void> {
    if (outcome.type === "ran") {
      const { kind } = this.#request;
      await this.#services.addBill(this.#request, kind.flatTokens);
      const { status = 502, contentType = "", body } = outcome.result;
      return this.#run.finish({ type: "answered", status, contentType, body });
    }
    if (outcome.type === "held") return this.#run.finish(outcome.end);
    this.#run.finish({ type: "refused", refusal: outcome.refusal });
  }
}
