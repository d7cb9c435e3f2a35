/** Starts runs, and joins duplicates of a request to the run in flight. */
import { LRUCache } from "lru-cache";
import { type Either, Left, Right } from "purify-ts";
import {
  combineUndo,
  type Millis,
  type Refusal,
  RefusalKind,
  ServiceType,
  type Tokens,
  type Undo,
} from "../../core/mod.ts";
import type { ClaimInput } from "../../request/mod.ts";
import type { BillLog } from "../features/bill_log.ts";
import type { Escrow } from "../features/escrow.ts";
import type { TargetRouter } from "../features/target_router.ts";
import { LogEvent } from "../event_log.ts";
import { DRAINING, type NodeContext } from "../node_context.ts";
import { AnswerRun } from "./answer_run.ts";
import { type CallerRequest, formatFlightKey } from "./caller_request.ts";
import { createRefusal, createUnknown } from "./refusals.ts";
import { EngineRequestRun } from "./run_engine_request.ts";
import { ServiceRequestRun } from "./run_service_request.ts";
import type { RunServices } from "./run_services.ts";

/** Answers kept in memory for retries that come soon after. */
const MAX_KEPT_RUNS = 1_000;
const KEPT_RUN_LIFE: Millis = 60_000;

/** Longest wait for a claim's end to be durable before its answer goes out. */
const MAX_CLAIM_WAIT: Millis = 1_000;

const OVERLOAD_RETRY_AFTER: Millis = 1_000;

/** Features that the runner uses. */
export interface RunnerFeatures {
  readonly escrow: Escrow;
  readonly router: TargetRouter;
  readonly bills: BillLog;
  readonly isHolderLive: RunServices["isHolderLive"];
}

/** Runs requests of this VM. */
export class RequestRunner {
  readonly #context: NodeContext;
  readonly #services: RunServices;
  readonly #flights = new Map<string, AnswerRun>();
  readonly #kept = new LRUCache<string, AnswerRun>({
    max: MAX_KEPT_RUNS,
    ttl: KEPT_RUN_LIFE,
  });
  #claimNumber = 0;
  #onIdle: (() => void)[] = [];

  constructor(context: NodeContext, features: RunnerFeatures) {
    this.#context = context;
    this.#services = {
      context,
      escrow: features.escrow,
      router: features.router,
      addBill: (request, tokens) =>
        features.bills.add(this.#createBill(request, tokens)),
      createClaim: (request) => this.#createClaim(request),
      isHolderLive: features.isHolderLive,
      waitBriefly: (promise) => waitBriefly(promise, MAX_CLAIM_WAIT),
    };
  }

  /** Registers the feature's dump. */
  register(): Undo {
    return combineUndo([
      this.#context.kernel.registerDump("requests", () => ({
        open: [...this.#flights.keys()],
        kept: this.#kept.size,
      })),
    ]);
  }

  /** Returns the number of runs in flight. */
  countOpen(): number {
    return this.#flights.size;
  }

  /** Resolves when no run is in flight. */
  waitForIdle(): Promise<void> {
    if (this.#flights.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#onIdle.push(resolve));
  }

  /** Starts a run, or joins the one in flight under the same key. */
  start(request: CallerRequest): Either<Refusal, AnswerRun> {
    const key = formatFlightKey(request);
    const known = this.#flights.get(key) ?? this.#kept.get(key);
    if (known !== undefined) {
      return known.digest === request.digest
        ? Right(known)
        : Left(createRefusal(RefusalKind.RequestKeyReused));
    }
    if (this.#context.kernel.read(DRAINING)) {
      return Left(createRefusal(RefusalKind.Draining, { retryAfter: 0 }));
    }
    if (this.#flights.size >= this.#context.settings.limits.maxOpenRequests) {
      return Left(createRefusal(RefusalKind.Overloaded, {
        retryAfter: OVERLOAD_RETRY_AFTER,
      }));
    }
    const run = new AnswerRun(request.digest);
    this.#flights.set(key, run);
    this.#context.metrics.openRequests.set(this.#flights.size);
    void this.#execute(request, run).finally(() => this.#end(request, run));
    return Right(run);
  }

  async #execute(request: CallerRequest, run: AnswerRun): Promise<void> {
    try {
      const input = { request, run };
      if (request.service.type === ServiceType.ModelEngine) {
        await new EngineRequestRun(this.#services, input).execute();
      } else {
        await new ServiceRequestRun(this.#services, input).execute();
      }
    } catch (error) {
      this.#context.log.error(LogEvent.ProcessFailed, {
        process: "request",
        reason: error instanceof Error ? error.stack ?? error.message : "",
      });
      const refusal = createUnknown(RefusalKind.Internal);
      run.finish({ type: "refused", refusal });
    }
  }

  #end(request: CallerRequest, run: AnswerRun): void {
    const key = formatFlightKey(request);
    this.#flights.delete(key);
    // A refusal is not kept: the caller is meant to try again.
    const whole = run.readEnd()?.type !== "refused" &&
      run.readEnd() !== undefined;
    if (request.keyGiven && whole) this.#kept.set(key, run);
    this.#context.metrics.openRequests.set(this.#flights.size);
    if (this.#flights.size > 0) return;
    for (const resolve of this.#onIdle.splice(0)) resolve();
  }

  #createBill(request: CallerRequest, tokens: Tokens) {
    return {
      customer: request.customer.id,
      requestKey: request.requestKey,
      event: request.event.id,
      kind: request.kind.id,
      tokens,
      endedAt: this.#context.clock.readWall(),
    };
  }

  #createClaim(request: CallerRequest): ClaimInput {
    const { settings, incarnation, clock } = this.#context;
    return {
      customer: request.customer.id,
      requestKey: request.requestKey,
      digest: request.digest,
      vm: settings.vm,
      // Each attempt is a holder of its own, so that a late write of one
      // attempt is never taken for another's.
      incarnation: `${incarnation}/${++this.#claimNumber}`,
      wallTime: clock.readWall(),
    };
  }
}

function waitBriefly(
  promise: Promise<unknown>,
  bound: Millis,
): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), bound);
    void promise.then(() => {
      clearTimeout(timer);
      resolve(true);
    });
  });
}
