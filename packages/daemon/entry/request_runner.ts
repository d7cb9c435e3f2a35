/** Starts the runs of requests, and joins duplicates to the run in progress. */
import { type Either, Left, Right } from "purify-ts";
import {
  type Incarnation,
  type Millis,
  type Refusal,
  RefusalKind,
  ServiceType,
  type Tokens,
  type Undo,
  type VmId,
} from "../../core/mod.ts";
import {
  AdmitState,
  type ClaimHolder,
  type ClaimInput,
  describeHolder,
  HolderState,
  RequestTable,
} from "../../request/mod.ts";
import type { BillLog } from "../features/bill_log.ts";
import type { Escrow } from "../features/escrow.ts";
import type { Traffic } from "../features/traffic.ts";
import {
  createRefusal,
  createUnknownOutcomeRefusal,
  LogEvent,
} from "../../runtime/mod.ts";
import { DRAINING, type NodeContext } from "../node_context.ts";
import { RequestRun } from "./request_run.ts";
import type { CallerRequest } from "./caller_request.ts";
import { EngineRequestExecutor } from "./engine_request_executor.ts";
import { ServiceRequestExecutor } from "./service_request_executor.ts";
import type { RunDependencies } from "./run_dependencies.ts";

/** Delay before a failed write of an object is retried. */
const OBJECT_RETRY_WAIT: Millis = 500;

/** Maximum time that an answer waits for the durable end of its claim. */
const MAX_CLAIM_WAIT: Millis = 1_000;

const OVERLOAD_RETRY_AFTER: Millis = 1_000;

/** Features and functions on which the runner depends. */
export interface RunnerFeatures {
  readonly escrow: Escrow;
  readonly traffic: Traffic;
  readonly bills: BillLog;
  /** Returns whether an incarnation of another VM is known to have ended. */
  readonly hasIncarnationEnded: (vm: VmId, incarnation: Incarnation) => boolean;
}

/** Runs the requests that this VM has accepted. */
export class RequestRunner {
  readonly #context: NodeContext;
  readonly #dependencies: RunDependencies;
  readonly #hasIncarnationEnded: RunnerFeatures["hasIncarnationEnded"];
  readonly #requestTable = new RequestTable<RequestRun>();
  readonly #openRuns = new Map<number, RequestRun>();
  /** Claim attempt number of each claimed request in progress. */
  readonly #claimAttempts = new Map<CallerRequest, number>();
  #lastClaimAttempt = 0;
  #idleListeners: (() => void)[] = [];

  constructor(context: NodeContext, features: RunnerFeatures) {
    this.#context = context;
    this.#hasIncarnationEnded = features.hasIncarnationEnded;
    this.#dependencies = {
      context,
      escrow: features.escrow,
      traffic: features.traffic,
      addBill: (request, tokens) =>
        features.bills.add(this.#createBill(request, tokens)),
      createClaim: (request) => this.#createClaim(request),
      describeHolder: (holder) => this.#describeHolder(holder),
      putObject: (object) => this.#putObject(object),
      waitWithTimeout: (promise) => waitWithTimeout(promise, MAX_CLAIM_WAIT),
    };
  }

  /** Registers this feature's part of the state dump. */
  register(): Undo {
    return this.#context.kernel.registerDump(
      "requests",
      () => this.#requestTable.readCounts(),
    );
  }

  /** Returns the number of runs in progress. */
  countOpen(): number {
    return this.#openRuns.size;
  }

  /** Resolves when no run is in progress. */
  waitForIdle(): Promise<void> {
    if (this.#openRuns.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleListeners.push(resolve));
  }

  /**
   * Starts a run, or returns the one that is in progress or whose answer is
   * kept under the same request key.
   */
  start(request: CallerRequest): Either<Refusal, RequestRun> {
    const now = this.#context.clock.readMonotonic();
    const admitted = this.#requestTable.admit({
      customer: request.customer.id,
      requestKey: request.requestKey,
      digest: request.digest,
    }, now);
    if (admitted.state === AdmitState.OtherBody) {
      return Left(createRefusal(RefusalKind.RequestKeyReused));
    }
    if (admitted.state === AdmitState.Kept) return Right(admitted.outcome);
    if (admitted.state === AdmitState.Joined) {
      return Right(this.#openRuns.get(admitted.run)!);
    }
    const refusal = this.#checkAdmission(request);
    if (refusal !== undefined) {
      this.#requestTable.finish(admitted.run, { now });
      return Left(refusal);
    }
    const run = new RequestRun(request.digest);
    this.#openRuns.set(admitted.run, run);
    this.#context.metrics.openRequests.set(this.#openRuns.size);
    void this.#execute(request, run)
      .finally(() => this.#finishRun(admitted.run, { request, run }));
    return Right(run);
  }

  #checkAdmission(request: CallerRequest): Refusal | undefined {
    const { kernel, settings } = this.#context;
    if (kernel.read(DRAINING)) {
      return createRefusal(RefusalKind.Draining, { retryAfter: 0 });
    }
    if (this.#dependencies.traffic.isQuarantined(request.digest)) {
      return createRefusal(RefusalKind.Quarantined);
    }
    if (this.#openRuns.size < settings.limits.maxOpenRequests) return undefined;
    return createRefusal(RefusalKind.Overloaded, {
      retryAfter: OVERLOAD_RETRY_AFTER,
    });
  }

  async #execute(request: CallerRequest, run: RequestRun): Promise<void> {
    try {
      const input = { request, run };
      if (request.service.type === ServiceType.ModelEngine) {
        await new EngineRequestExecutor(this.#dependencies, input).execute();
      } else {
        await new ServiceRequestExecutor(this.#dependencies, input).execute();
      }
    } catch (error) {
      this.#context.log.error(LogEvent.ProcessFailed, {
        process: "request",
        reason: error instanceof Error ? error.stack ?? error.message : "",
      });
      const refusal = createUnknownOutcomeRefusal(RefusalKind.Internal);
      run.finish({ type: "refused", refusal });
    }
  }

  #finishRun(
    number: number,
    input: { readonly request: CallerRequest; readonly run: RequestRun },
  ): void {
    const { request, run } = input;
    this.#openRuns.delete(number);
    this.#claimAttempts.delete(request);
    const end = run.readEnd();
    // Refusals are not kept, so that the caller can retry with the same key.
    const complete = end !== undefined && end.type !== "refused";
    const keep = request.keyGiven && complete
      ? { keep: { outcome: run, bytes: run.computeBytes() } }
      : {};
    const now = this.#context.clock.readMonotonic();
    this.#requestTable.finish(number, { now, ...keep });
    this.#context.metrics.openRequests.set(this.#openRuns.size);
    if (this.#openRuns.size > 0) return;
    for (const resolve of this.#idleListeners.splice(0)) resolve();
  }

  #describeHolder(holder: ClaimHolder): HolderState {
    const { settings, incarnation } = this.#context;
    return describeHolder(holder, {
      self: { vm: settings.vm, incarnation },
      isInProgress: (attempt) =>
        [...this.#claimAttempts.values()].includes(attempt),
      isLifeOver: this.#hasIncarnationEnded,
    });
  }

  async #putObject(
    object: { readonly key: string; readonly body: Uint8Array },
  ): Promise<void> {
    const { objects } = this.#context;
    if (objects === undefined) return;
    for (;;) {
      const stored = await objects.put(object.key, object.body);
      if (stored.isRight()) return;
      await new Promise((resolve) => setTimeout(resolve, OBJECT_RETRY_WAIT));
    }
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
    const attempt = ++this.#lastClaimAttempt;
    this.#claimAttempts.set(request, attempt);
    return {
      customer: request.customer.id,
      requestKey: request.requestKey,
      digest: request.digest,
      vm: settings.vm,
      incarnation,
      // Each attempt holds its claim under its own number, so that a late write
      // of one attempt is never mistaken for another's.
      attempt,
      wallTime: clock.readWall(),
    };
  }
}

function waitWithTimeout(
  promise: Promise<unknown>,
  timeout: Millis,
): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(false), timeout);
    void promise.then(() => {
      clearTimeout(timer);
      resolve(true);
    });
  });
}
