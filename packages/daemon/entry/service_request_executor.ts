/**
 * Runs a call of a plain service.
 *
 * A call that must not be repeated is claimed in the store before any byte of
 * it is sent. It is sent again only when the target provably did not run it, or
 * when the targets themselves deduplicate by request key.
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
import type { RequestRun, RunEnd } from "./request_run.ts";
import { type AttemptInput, AttemptRunner } from "./attempt_runner.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { RunDependencies } from "./run_dependencies.ts";

const STORE_RETRY_AFTER: Millis = 2_000;
const STILL_RUNNING_RETRY_AFTER: Millis = 1_000;

/** The combined outcome of all attempts of a call. */
type CallOutcome =
  | { readonly type: "ran"; readonly result: TargetResult }
  | { readonly type: "not-run"; readonly refusal: Refusal }
  | { readonly type: "unknown"; readonly refusal: Refusal }
  /** The claim was not taken, so nothing was sent; the run ends with `end`. */
  | { readonly type: "held"; readonly end: RunEnd };

/** Executes one call of a plain service and ends its run. */
export class ServiceRequestExecutor {
  readonly #dependencies: RunDependencies;
  readonly #request: CallerRequest;
  readonly #run: RequestRun;
  readonly #attempts: AttemptRunner;

  constructor(
    dependencies: RunDependencies,
    input: { readonly request: CallerRequest; readonly run: RequestRun },
  ) {
    this.#dependencies = dependencies;
    this.#request = input.request;
    this.#run = input.run;
    // A call that must not be repeated goes on after its caller disconnects,
    // because the target may already have begun it.
    const abandoned = input.request.kind.repeatability === Repeatability.Once
      ? new AbortController().signal
      : input.run.abandoned;
    const { request } = input;
    this.#attempts = new AttemptRunner(dependencies, { request, abandoned });
  }

  /** Reserves tokens, runs the call, settles the tokens and ends the run. */
  async execute(): Promise<void> {
    const { kind, event, deadline } = this.#request;
    const reserved = await this.#dependencies.escrow.reserve(event, {
      tokens: kind.flatTokens,
      deadline,
    });
    if (reserved.isLeft()) {
      const refusal = reserved.swap().unsafeCoerce();
      return this.#run.finish({ type: "refused", refusal });
    }
    const outcome = await this.#runAdmitted();
    const usedNoTokens = outcome.type === "not-run" || outcome.type === "held";
    const spent = usedNoTokens ? 0 : kind.flatTokens;
    this.#dependencies.escrow.settle(reserved.unsafeCoerce(), spent);
    const complete = outcome.type === "ran";
    this.#attempts.finish({ tokens: spent, complete });
    await this.#finish(outcome);
  }

  async #runAdmitted(): Promise<CallOutcome> {
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
    const claim = this.#dependencies.createClaim(this.#request);
    const taken = await this.#takeClaim(claim);
    if (taken.isLeft()) {
      this.#attempts.endUnsent(target);
      return { type: "held", end: taken.swap().unsafeCoerce() };
    }
    const outcome = await this.#runAttempts(target);
    // The claim is finished before the caller is answered, so that a retry at
    // another VM finds the outcome that this caller receives.
    await this.#finishClaim(claim, outcome);
    return outcome;
  }

  /**
   * Takes the claim in the store. When another attempt holds it or the store
   * fails, returns how the run ends instead.
   */
  async #takeClaim(claim: ClaimInput): Promise<Either<RunEnd, void>> {
    const { writer } = this.#dependencies.context;
    const giveUpAt = this.#request.deadline;
    const answer = await writer.run(createTakeClaim(claim), { giveUpAt });
    const held = answer.caseOf<Either<RunEnd | TakeClaimResult, void>>({
      Left: (error) => {
        // The claim may have been written although the answer was lost. It is
        // released as soon as the store is available again.
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
    return Left("state" in result ? await this.#createHeldEnd(result) : result);
  }

  async #createHeldEnd(result: TakeClaimResult): Promise<RunEnd> {
    if (result.state === ClaimState.Ran && result.answer !== undefined) {
      return await this.#readKeptAnswer(result.answer);
    }
    if (result.state === ClaimState.OtherBody) {
      const refusal = createRefusal(RefusalKind.RequestKeyReused);
      return { type: "refused", refusal };
    }
    const running = result.holder !== undefined &&
      this.#dependencies.describeHolder(result.holder) === HolderState.Running;
    const refusal = running
      ? createUnknownOutcomeRefusal(RefusalKind.StillRunning, {
        retryAfter: STILL_RUNNING_RETRY_AFTER,
      })
      : createUnknownOutcomeRefusal(RefusalKind.OutcomeUnknown);
    return { type: "refused", refusal };
  }

  /** Returns the stored answer, from the claim's row or the object store. */
  async #readKeptAnswer(answer: KeptAnswer): Promise<RunEnd> {
    const { status, contentType } = answer;
    if ("bodyBase64" in answer) {
      const body = Buffer.from(answer.bodyBase64, "base64");
      return { type: "answered", status, contentType, body };
    }
    const stored = await this.#dependencies.context.objects?.get(
      answer.objectKey,
    );
    const body = stored?.toMaybe().extract();
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
      const next = await this.#attempts.chooseNextTarget(finished, 0);
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
    return this.#dependencies.context.targets.call({
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

  /**
   * Writes the outcome to the claim and waits a bounded time for it. The write
   * itself is retried until it is durable.
   */
  async #finishClaim(claim: ClaimInput, outcome: CallOutcome): Promise<void> {
    const { log } = this.#dependencies.context;
    const inTime = await this.#dependencies.waitWithTimeout(
      this.#writeClaimEnd(claim, outcome),
    );
    if (!inTime) {
      log.warn(LogEvent.ClaimUnfinished, { request_key: claim.requestKey });
    }
  }

  async #writeClaimEnd(claim: ClaimInput, outcome: CallOutcome): Promise<void> {
    const end = await this.#createClaimEnd(claim, outcome);
    const operation = createFinishClaim(claim, end);
    await this.#dependencies.context.writer.run(operation, {
      giveUpAt: Infinity,
    });
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
      await this.#dependencies.putObject(plan.object);
    }
    const tokens = this.#request.kind.flatTokens;
    return { state: "ran", answer: plan.answer, tokens };
  }

  async #finish(outcome: CallOutcome): Promise<void> {
    if (outcome.type === "ran") {
      const { kind } = this.#request;
      await this.#dependencies.addBill(this.#request, kind.flatTokens);
      const { status = 502, contentType = "", body } = outcome.result;
      return this.#run.finish({ type: "answered", status, contentType, body });
    }
    if (outcome.type === "held") return this.#run.finish(outcome.end);
    this.#run.finish({ type: "refused", refusal: outcome.refusal });
  }
}
