/**
 * Simulates an entry VM, which is a VM that receives requests from callers. It
 * uses the router's decision functions (admission, retries, quarantine) around
 * an exchangeable policy, and calls simulated replicas instead of the network.
 */
import {
  type Bytes,
  createNotRunRefusal,
  type FleetConfiguration,
  type Millis,
  Priority,
  type Refusal,
  RefusalKind,
  type RegionId,
  Repeatability,
  type TargetConfig,
  type TargetId,
  type VmId,
} from "../../core/mod.ts";
import { AttemptEnd } from "../../ports/mod.ts";
import {
  Admission,
  AnswerAssembler,
  applyCacheEvents,
  applyReport,
  applyTargets,
  CacheChange,
  ChunkAction,
  computeMaxLoad,
  createRoutingState,
  decideRetry,
  decideSilence,
  ExtraAttempt,
  type ProbeResult,
  Quarantine,
  type QuarantineEntry,
  recordAttemptEnd,
  recordAttemptStart,
  recordPrefillEnd,
  recordProbe,
  RetryAction,
  RetryBudgets,
  type RoutedRequest,
  type RoutingState,
  SilenceAction,
  type Ticket,
} from "../../routing/mod.ts";
import { EngineEnd, type EngineJob } from "../harness/fake_engine.ts";
import type { SeededRandom } from "../harness/random.ts";
import type { VirtualClock } from "../harness/virtual_clock.ts";
import type { Arrival } from "../harness/workload.ts";
import { type Outcomes, RequestEnd } from "./outcomes.ts";
import type { ChooseFunction, RoutingPolicy } from "./policy.ts";
import type { Replica } from "./replica.ts";

/**
 * Time without a token after which an attempt counts as silent, under every
 * policy.
 */
export const PROGRESS_TIMEOUT: Millis = 10_000;

const BYTES_PER_PROMPT_TOKEN: Bytes = 4;
const BYTES_PER_CHUNK: Bytes = 150;
const RETRY_RATIO = 0.1;
/** Attempts per request under a policy without failure handling. */
const MAX_ATTEMPTS = 4;
/** Time until a probe of a crashed target has failed. */
const PROBE_DURATION: Millis = 20;
/**
 * Wait after quarantine entries were pushed, so that peers have applied them
 * before the retry starts; also the interval between searches for a target.
 */
const PUSH_WAIT: Millis = 80;
/** Interval between polls of the load reports of all targets. */
const REPORT_POLL_INTERVAL: Millis = 500;
/**
 * Interval between checks for queued requests that can no longer end in time.
 */
const EXPIRY_TICK: Millis = 50;
/** Interval between checks for attempts without progress. */
const SILENCE_CHECK_INTERVAL: Millis = 1_000;

/** Identity, policy and simulated environment of an entry VM. */
export interface EntryVmOptions {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  readonly policy: RoutingPolicy;
  readonly configuration: FleetConfiguration;
  readonly vmsInRegion: number;
  readonly replicas: ReadonlyMap<TargetId, Replica>;
  readonly outcomes: Outcomes;
  /**
   * Delivers bytes over the link between the regions, or immediately when the
   * destination is in the same region.
   */
  readonly send: (to: RegionId, bytes: Bytes, deliver: () => void) => void;
  /** Sends quarantine entries to all entry VMs. */
  readonly pushQuarantine: (entries: readonly QuarantineEntry[]) => void;
}

/** A request as its caller sends it, for the first time or again. */
export interface SentRequest {
  readonly arrival: Arrival;
  /** Whether the request crashes every engine that processes its prompt. */
  readonly isPoison: boolean;
  /** Called when the request has ended for its caller. */
  readonly onEnd?: (end: RequestEnd, refusal?: RefusalKind) => void;
}

/** A request that has not ended, with the state of its current attempt. */
interface OpenRequest {
  readonly sent: SentRequest;
  readonly ticket: Ticket;
  readonly answer: AnswerAssembler;
  /** Targets of earlier attempts, which the next attempt avoids. */
  tried: TargetId[];
  attempts: number;
  /** Number of attempts that replaced work lost in a crash. */
  replacements: number;
  target?: TargetConfig | undefined;
  job?: EngineJob | undefined;
  /** Result of the probe that followed a silence of this attempt. */
  probe?: ProbeResult | undefined;
  /** Whether the target was up when the request of this attempt arrived. */
  reachedTarget: boolean;
  /** Whether this attempt has produced a token. */
  receivedToken: boolean;
  /** Whether any attempt reached a target that was up. */
  mayHaveRun: boolean;
  lastProgress: number;
  firstTokenAt?: number;
}

/** An entry VM that routes requests by one policy. */
export class EntryVm {
  readonly #options: EntryVmOptions;
  readonly #state: RoutingState;
  readonly #choose: ChooseFunction;
  readonly #admission = new Admission();
  readonly #budgets = new RetryBudgets();
  readonly #quarantine = new Quarantine();
  readonly #running = new Set<OpenRequest>();
  readonly #waiting = new Map<string, OpenRequest>();
  /** Requests that wait until the crash of their target is confirmed. */
  readonly #requestsByCrashedTarget = new Map<TargetId, OpenRequest[]>();
  readonly #cacheSequences = new Map<TargetId, number>();

  constructor(options: EntryVmOptions) {
    this.#options = options;
    this.#choose = options.policy.createChooseFunction();
    const { configuration, clock, vmsInRegion } = options;
    this.#state = applyTargets(
      createRoutingState({ region: options.region }),
      { configuration, now: clock.readMonotonic(), vms: vmsInRegion },
    );
    this.#startLoops();
  }

  /**
   * Receives a request from a caller: refuses it when it is quarantined, queues
   * it when the policy has admission, and starts it at once otherwise.
   */
  receive(sent: SentRequest): void {
    const now = this.#now;
    const request = createOpenRequest(sent, now);
    if (
      this.#options.policy.handlesFailures &&
      this.#quarantine.isQuarantined(sent.arrival.requestKey, now)
    ) {
      return this.#refuse(
        request,
        createNotRunRefusal(RefusalKind.Quarantined, ""),
      );
    }
    if (!this.#options.policy.hasQueue) return this.#startNow(request);
    const random = this.#options.random.uniform;
    this.#admission.admit(request.ticket, { now, random }).caseOf({
      Left: (refusal) => this.#refuse(request, refusal),
      Right: ({ displaced }) => {
        this.#waiting.set(request.ticket.id, request);
        for (const each of displaced) this.#refuseWaiting(each);
        this.#startReady();
      },
    });
  }

  /** Applies a cache event of a target to the routing state. */
  applyCacheEvent(target: TargetId, prefix: string, stored: boolean): void {
    const sequence = (this.#cacheSequences.get(target) ?? 0) + 1;
    this.#cacheSequences.set(target, sequence);
    const change = stored ? CacheChange.Stored : CacheChange.Dropped;
    applyCacheEvents(this.#state, target, [{ sequence, change, prefix }]);
  }

  /** Applies quarantine entries received from a peer. */
  applyQuarantine(entries: readonly QuarantineEntry[]): void {
    this.#quarantine.applyEntries(entries, this.#now);
  }

  /** Returns the entries of the digests that this VM has quarantined. */
  listQuarantined(): readonly QuarantineEntry[] {
    return this.#quarantine.listEntries({ now: this.#now })
      .filter((entry) => entry.quarantined);
  }

  get #now(): number {
    return this.#options.clock.readMonotonic();
  }

  #startLoops(): void {
    const { clock, random, policy } = this.#options;
    clock.schedule(random.uniform() * REPORT_POLL_INTERVAL, () => {
      this.#pollReports();
      clock.scheduleEvery(REPORT_POLL_INTERVAL, () => this.#pollReports());
    });
    if (policy.hasQueue) clock.scheduleEvery(EXPIRY_TICK, () => this.#expire());
    clock.scheduleEvery(SILENCE_CHECK_INTERVAL, () => this.#checkSilences());
  }

  #pollReports(): void {
    for (const [id, replica] of this.#options.replicas) {
      const load = replica.readReport();
      const now = this.#now;
      if (load === undefined) {
        recordProbe(this.#state, id, { answered: false, now });
        continue;
      }
      const report = { ...load, leaving: false, models: [] };
      applyReport(this.#state, id, { report, now });
    }
    this.#startReady();
  }

  #expire(): void {
    const random = this.#options.random.uniform;
    for (const each of this.#admission.expire({ now: this.#now, random })) {
      this.#refuseWaiting(each);
    }
    this.#startReady();
  }

  #startReady(): void {
    if (!this.#options.policy.hasQueue) return;
    for (const service of this.#state.services.keys()) {
      this.#admission.takeReady(service, {
        now: this.#now,
        tryStart: (ticket) => this.#tryStart(this.#waiting.get(ticket.id)!),
      });
    }
  }

  #tryStart(request: OpenRequest): boolean {
    const mostLoad = computeMaxLoad(request.ticket.priority);
    const target = this.#chooseTarget(request, mostLoad);
    if (target === undefined) return false;
    this.#waiting.delete(request.ticket.id);
    this.#startAttempt(request, target);
    return true;
  }

  #startNow(request: OpenRequest): void {
    const target = this.#chooseTarget(request);
    if (target !== undefined) return this.#startAttempt(request, target);
    this.#refuse(request, createNotRunRefusal(RefusalKind.NoTarget, ""));
  }

  #chooseTarget(
    request: OpenRequest,
    mostLoad?: number,
  ): TargetConfig | undefined {
    const { arrival } = request.sent;
    const { handlesFailures, hasQueue } = this.#options.policy;
    const digest = arrival.requestKey;
    const routedRequest: RoutedRequest = {
      service: request.ticket.service,
      customer: arrival.customer,
      digest,
      tried: request.tried,
      priority: arrival.kind.priority,
      prefixes: arrival.prefix.tokens > 0 ? [arrival.prefix.id] : [],
      promptTokens: arrival.promptTokens,
      prefixTokens: arrival.prefix.tokens,
      ...handlesFailures
        ? { avoided: this.#quarantine.listSuspectTargets(digest, this.#now) }
        : {},
    };
    return this.#choose({
      state: this.#state,
      request: routedRequest,
      now: this.#now,
      random: this.#options.random.uniform,
      ...hasQueue && mostLoad !== undefined ? { mostLoad } : {},
    });
  }

  #startAttempt(request: OpenRequest, target: TargetConfig): void {
    const { outcomes, send } = this.#options;
    const { arrival, isPoison: poison } = request.sent;
    const position = request.answer.readProgress().position;
    const attempt = request.answer.startAttempt({ resumeAt: position });
    if (attempt === undefined) throw new Error("cannot start an attempt");
    if (request.attempts === 0) {
      outcomes.started++;
      this.#budgets.recordFirstAttempt(request.ticket.service, RETRY_RATIO);
    }
    outcomes.attempts++;
    request.attempts++;
    request.target = target;
    request.probe = undefined;
    request.receivedToken = false;
    request.lastProgress = this.#now;
    request.tried = [...request.tried, target.id];
    this.#running.add(request);
    this.#quarantine.recordStart(arrival.requestKey, target.id);
    recordAttemptStart(this.#state, target.id, {
      now: this.#now,
      prefixes: arrival.prefix.tokens > 0 ? [arrival.prefix.id] : [],
      promptTokens: arrival.promptTokens,
      expectedBytes: computeBytes(arrival),
    });
    const job: EngineJob = {
      promptTokens: arrival.promptTokens + position,
      outputTokens: arrival.outputTokens - position,
      priority: arrival.kind.priority,
      prefix: arrival.prefix,
      poison,
      onToken: (index) =>
        send(target.region, BYTES_PER_CHUNK, () => {
          this.#receiveToken(request, attempt, position + index);
        }),
      onEnd: (end) =>
        send(target.region, 0, () => this.#receiveEnd(request, job, end)),
    };
    request.job = job;
    const bytes = arrival.promptTokens * BYTES_PER_PROMPT_TOKEN;
    const replica = this.#options.replicas.get(target.id)!;
    send(target.region, bytes, () => {
      request.reachedTarget = replica.up;
      request.mayHaveRun ||= request.reachedTarget;
      replica.submit(job);
    });
  }

  #receiveToken(request: OpenRequest, attempt: number, position: number): void {
    const chunk = { position, data: "", tokens: 1 };
    if (request.answer.receive(attempt, chunk) !== ChunkAction.Pass) return;
    const now = this.#now;
    if (!request.receivedToken) {
      request.receivedToken = true;
      const { promptTokens } = request.sent.arrival;
      recordPrefillEnd(this.#state, request.target!.id, promptTokens);
    }
    const { requestKey } = request.sent.arrival;
    this.#quarantine.recordProgress(requestKey, request.target!.id);
    const isModelRequest = request.sent.arrival.outputTokens > 0;
    if (request.firstTokenAt === undefined) {
      request.firstTokenAt = now;
      this.#admission.recordFirstToken(request.ticket.id, now);
      this.#startReady();
    } else if (isModelRequest) {
      this.#options.outcomes.recordTokenInterval(now - request.lastProgress);
    }
    request.lastProgress = now;
  }

  #receiveEnd(
    request: OpenRequest,
    job: EngineJob,
    jobEnd: EngineEnd,
  ): void {
    if (request.job !== job || request.target === undefined) return;
    const { target } = request;
    const digest = request.sent.arrival.requestKey;
    const now = this.#now;
    const up = this.#options.replicas.get(target.id)!.up;
    const lost = jobEnd === EngineEnd.Broken && request.reachedTarget && !up;
    if (lost && request.sent.isPoison) {
      this.#options.outcomes.recordPoisonCrash(digest);
    }
    const bytes = computeBytes(request.sent.arrival);
    const attemptEnd = computeAttemptEnd(jobEnd, request.reachedTarget);
    request.job = undefined;
    this.#running.delete(request);
    recordAttemptEnd(this.#state, target.id, {
      now,
      end: attemptEnd,
      unreadTokens: request.receivedToken
        ? 0
        : request.sent.arrival.promptTokens,
      expectedBytes: bytes,
      bytes,
    });
    if (jobEnd === EngineEnd.Complete) {
      const options = { target: target.id, complete: true };
      this.#quarantine.recordEnd(digest, options);
      this.#complete(request);
    } else if (lost && this.#options.policy.handlesFailures) {
      this.#handleCrash(request, target.id);
    } else {
      const options = { target: target.id, complete: false };
      this.#quarantine.recordEnd(digest, options);
      // This VM cancels only silent attempts. The caller still waits, so the
      // attempt counts as broken and may be retried.
      const end = request.reachedTarget ? AttemptEnd.Broken : attemptEnd;
      this.#retry(request, { lost, end });
    }
    this.#startReady();
  }

  /**
   * Confirms a crash by a probe, pushes the quarantine entries it changed to
   * the peers, and retries the lost requests only after the peers have applied
   * them.
   */
  #handleCrash(request: OpenRequest, target: TargetId): void {
    const known = this.#requestsByCrashedTarget.get(target);
    if (known !== undefined) return void known.push(request);
    this.#requestsByCrashedTarget.set(target, [request]);
    const { clock, pushQuarantine } = this.#options;
    clock.schedule(PROBE_DURATION, () => {
      const now = this.#now;
      recordProbe(this.#state, target, { answered: false, now });
      const { changed } = this.#quarantine.recordCrash(target, now);
      const entries = this.#quarantine.listEntries({ now })
        .filter((entry) => changed.includes(entry.digest));
      pushQuarantine(entries);
      clock.schedule(PUSH_WAIT, () => {
        const lost = this.#requestsByCrashedTarget.get(target) ?? [];
        this.#requestsByCrashedTarget.delete(target);
        const end = AttemptEnd.Broken;
        for (const each of lost) this.#retry(each, { lost: true, end });
      });
    });
  }

  #retry(
    request: OpenRequest,
    failure: { readonly lost: boolean; readonly end: AttemptEnd },
  ): void {
    if (!this.#options.policy.handlesFailures) return this.#retryNow(request);
    const { arrival } = request.sent;
    const now = this.#now;
    const decision = decideRetry({
      service: request.ticket.service,
      repeatability: arrival.kind.repeatability,
      ...failure,
      mayHaveRun: request.mayHaveRun,
      attempts: request.attempts,
      replacements: request.replacements,
      passedOn: request.answer.readProgress().position,
      resumable: true,
      quarantined: this.#quarantine.isQuarantined(arrival.requestKey, now),
      deadline: request.ticket.deadline,
    }, { budgets: this.#budgets, now, random: this.#options.random.uniform });
    if (decision.action === RetryAction.GiveUp) return this.#fail(request);
    const { clock } = this.#options;
    if (decision.action === RetryAction.Wait) {
      return void clock.schedule(
        decision.after,
        () => this.#retry(request, failure),
      );
    }
    this.#budgets.recordExtraAttempt(request.ticket.service, decision.extra);
    if (decision.extra === ExtraAttempt.Replacement) request.replacements++;
    clock.schedule(decision.after, () => this.#startNextAttempt(request));
  }

  /** Retries at once, without a budget, up to a number of attempts. */
  #retryNow(request: OpenRequest): void {
    const once = request.mayHaveRun &&
      request.sent.arrival.kind.repeatability === Repeatability.Once;
    if (once || request.attempts >= MAX_ATTEMPTS) return this.#fail(request);
    this.#startNextAttempt(request);
  }

  #startNextAttempt(request: OpenRequest): void {
    const target = this.#chooseTarget(request);
    if (target !== undefined) return this.#startAttempt(request, target);
    const { policy, clock } = this.#options;
    if (!policy.handlesFailures || this.#now >= request.ticket.deadline) {
      return this.#fail(request);
    }
    // Every target was tried or is unusable. Only the last one stays excluded,
    // so that the others can be chosen again.
    request.tried = request.tried.slice(-1);
    clock.schedule(PUSH_WAIT, () => this.#startNextAttempt(request));
  }

  #checkSilences(): void {
    for (const request of [...this.#running]) {
      const silence = this.#now - request.lastProgress;
      if (silence < PROGRESS_TIMEOUT) continue;
      if (this.#options.policy.handlesFailures) this.#checkSilence(request);
      else this.#cancelAttempt(request);
    }
  }

  #checkSilence(request: OpenRequest): void {
    const target = request.target!;
    const action = decideSilence({
      lastProgress: request.lastProgress,
      begun: request.answer.readProgress().position > 0,
      progressTimeout: PROGRESS_TIMEOUT,
      capacity: target.capacity,
      ...request.probe === undefined ? {} : { probe: request.probe },
    }, this.#now);
    if (action === SilenceAction.Probe) {
      const load = this.#options.replicas.get(target.id)!.readReport();
      const at = this.#now;
      request.probe = load === undefined ? { at } : { at, load };
    } else if (action !== SilenceAction.Wait) this.#cancelAttempt(request);
  }

  /** Cancels the current attempt; its end triggers the retry decision. */
  #cancelAttempt(request: OpenRequest): void {
    const replica = this.#options.replicas.get(request.target!.id)!;
    const job = request.job;
    if (job !== undefined) replica.cancel(job);
  }

  #complete(request: OpenRequest): void {
    this.#finish(request, RequestEnd.Complete);
  }

  #fail(request: OpenRequest): void {
    this.#finish(request, RequestEnd.Failed);
  }

  #finish(request: OpenRequest, end: RequestEnd, refusal?: RefusalKind): void {
    const { arrival } = request.sent;
    const now = this.#now;
    request.answer.close();
    this.#admission.finish(request.ticket.id, {
      now,
      tokens: arrival.outputTokens,
      complete: end === RequestEnd.Complete,
    });
    this.#options.outcomes.recordEnd({
      arrival,
      end,
      endedAt: now,
      ...request.firstTokenAt === undefined
        ? {}
        : { firstTokenAt: request.firstTokenAt },
      ...refusal === undefined ? {} : { refusal },
    });
    request.sent.onEnd?.(end, refusal);
  }

  #refuse(request: OpenRequest, refusal: Refusal): void {
    this.#finish(request, RequestEnd.Refused, refusal.kind);
  }

  #refuseWaiting(
    refused: { readonly ticket: Ticket; readonly refusal: Refusal },
  ): void {
    const request = this.#waiting.get(refused.ticket.id);
    this.#waiting.delete(refused.ticket.id);
    if (request !== undefined) this.#refuse(request, refused.refusal);
  }
}

function createOpenRequest(sent: SentRequest, now: number): OpenRequest {
  const { arrival } = sent;
  const isPlain = arrival.kind.promptTokens === 0;
  return {
    sent,
    ticket: {
      id: `${arrival.requestKey}/${now}`,
      customer: arrival.customer,
      service: isPlain ? "plain" : "engine",
      kind: arrival.kind.id,
      priority: arrival.kind.priority ?? Priority.Standard,
      weight: 1,
      tokens: arrival.outputTokens,
      promptTokens: arrival.promptTokens,
      deadline: now + arrival.kind.deadline,
      arrivedAt: now,
    },
    answer: new AnswerAssembler({ tokenBound: arrival.outputTokens + 1 }),
    tried: [],
    attempts: 0,
    replacements: 0,
    reachedTarget: false,
    receivedToken: false,
    mayHaveRun: false,
    lastProgress: now,
  };
}

function computeAttemptEnd(end: EngineEnd, reached: boolean): AttemptEnd {
  if (!reached) return AttemptEnd.NotSent;
  switch (end) {
    case EngineEnd.Complete:
      return AttemptEnd.Complete;
    case EngineEnd.Broken:
      return AttemptEnd.Broken;
    case EngineEnd.Cancelled:
      return AttemptEnd.Cancelled;
  }
}

function computeBytes(arrival: Arrival): Bytes {
  return arrival.promptTokens * BYTES_PER_PROMPT_TOKEN +
    arrival.outputTokens * BYTES_PER_CHUNK;
}
