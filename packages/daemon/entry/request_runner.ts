/** Starts runs, and joins duplicates of a request to the run in flight. */
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
import { AnswerRun } from "./answer_run.ts";
import type { CallerRequest } from "./caller_request.ts";
import { EngineRequestRun } from "./run_engine_request.ts";
import { ServiceRequestRun } from "./run_service_request.ts";
import type { RunServices } from "./run_services.ts";

/** Pause before an object is put again. */
const OBJECT_RETRY_WAIT: Millis = 500;

/** Longest wait for a claim's end to be durable before its answer goes out. */
const MAX_CLAIM_WAIT: Millis = 1_000;

const OVERLOAD_RETRY_AFTER: Millis = 1_000;

/** Features that the runner uses. */
export interface RunnerFeatures {
  readonly escrow: Escrow;
  readonly traffic: Traffic;
  readonly bills: BillLog;
  /** Says whether the life of another VM is known to be over. */
  readonly isLifeOver: (vm: VmId, incarnation: Incarnation) => boolean;
}

/** Runs requests of this VM. */
export class RequestRunner {
  readonly #context: NodeContext;
  readonly #services: RunServices;
  readonly #isLifeOver: RunnerFeatures["isLifeOver"];
  readonly #table = new RequestTable<AnswerRun>();
  readonly #open = new Map<number, AnswerRun>();
  /** Claims whose attempts are in progress. */
  readonly #claims = new Map<CallerRequest, number>();
  #claimNumber = 0;
  #onIdle: (() => void)[] = [];

  constructor(context: NodeContext, features: RunnerFeatures) {
    this.#context = context;
    this.#isLifeOver = features.isLifeOver;
    this.#services = {
      context,
      escrow: features.escrow,
      traffic: features.traffic,
      addBill: (request, tokens) =>
        features.bills.add(this.#createBill(request, tokens)),
      createClaim: (request) => this.#createClaim(request),
      describeHolder: (holder) => this.#describeHolder(holder),
      putObject: (object) => this.#putObject(object),
      waitBriefly: (promise) => waitBriefly(promise, MAX_CLAIM_WAIT),
    };
  }

  /** Registers the feature's dump. */
  register(): Undo {
    return this.#context.kernel.registerDump(
      "requests",
      () => this.#table.readCounts(),
    );
  }

  /** Returns the number of runs in flight. */
  countOpen(): number {
    return this.#open.size;
  }

  /** Resolves when no run is in flight. */
  waitForIdle(): Promise<void> {
    if (this.#open.size === 0) return Promise.resolve();
    return new Promise((resolve) => this.#onIdle.push(resolve));
  }

  /** Starts a run, or joins the one in flight under the same key. */
  start(request: CallerRequest): Either<Refusal, AnswerRun> {
    const now = this.#context.clock.readMonotonic();
    const admitted = this.#table.admit({
      customer: request.customer.id,
      requestKey: request.requestKey,
      digest: request.digest,
    }, now);
    if (admitted.state === AdmitState.OtherBody) {
      return Left(createRefusal(RefusalKind.RequestKeyReused));
    }
    if (admitted.state === AdmitState.Kept) return Right(admitted.outcome);
    if (admitted.state === AdmitState.Joined) {
      return Right(this.#open.get(admitted.run)!);
    }
    const refusal = this.#checkRoom(request);
    if (refusal !== undefined) {
      this.#table.finish(admitted.run, { now });
      return Left(refusal);
    }
    const run = new AnswerRun(request.digest);
    this.#open.set(admitted.run, run);
    this.#context.metrics.openRequests.set(this.#open.size);
    void this.#execute(request, run)
      .finally(() => this.#end(admitted.run, { request, run }));
    return Right(run);
  }

  #checkRoom(request: CallerRequest): Refusal | undefined {
    const { kernel, settings } = this.#context;
    if (kernel.read(DRAINING)) {
      return createRefusal(RefusalKind.Draining, { retryAfter: 0 });
    }
    if (this.#services.traffic.isQuarantined(request.digest)) {
      return createRefusal(RefusalKind.Quarantined);
    }
    if (this.#open.size < settings.limits.maxOpenRequests) return undefined;
    return createRefusal(RefusalKind.Overloaded, {
      retryAfter: OVERLOAD_RETRY_AFTER,
    });
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
      const refusal = createUnknownOutcomeRefusal(RefusalKind.Internal);
      run.finish({ type: "refused", refusal });
    }
  }

  #end(
    number: number,
    input: { readonly request: CallerRequest; readonly run: AnswerRun },
  ): void {
    const { request, run } = input;
    this.#open.delete(number);
    this.#claims.delete(request);
    const end = run.readEnd();
    // A refusal is not kept: the caller is meant to try again.
    const whole = end !== undefined && end.type !== "refused";
    const keep = request.keyGiven && whole
      ? { keep: { outcome: run, bytes: run.computeBytes() } }
      : {};
    const now = this.#context.clock.readMonotonic();
    this.#table.finish(number, { now, ...keep });
    this.#context.metrics.openRequests.set(this.#open.size);
    if (this.#open.size > 0) return;
    for (const resolve of this.#onIdle.splice(0)) resolve();
  }

  #describeHolder(holder: ClaimHolder): HolderState {
    const { settings, incarnation } = this.#context;
    return describeHolder(holder, {
      self: { vm: settings.vm, incarnation },
      isInProgress: (attempt) => [...this.#claims.values()].includes(attempt),
      isLifeOver: this.#isLifeOver,
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
    const attempt = ++this.#claimNumber;
    this.#claims.set(request, attempt);
    return {
      customer: request.customer.id,
      requestKey: request.requestKey,
      digest: request.digest,
      vm: settings.vm,
      incarnation,
      // Each attempt is a holder of its own, so that a late write of one
      // attempt is never taken for another's.
      attempt,
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
