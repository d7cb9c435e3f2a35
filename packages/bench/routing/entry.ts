/**
 * One entry VM of an experiment: the project's decisions around a policy, with
 * replicas in place of sockets.
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

/** Progress timeout of every policy. */
export const PROGRESS_TIMEOUT: Millis = 10_000;

const BYTES_PER_PROMPT_TOKEN: Bytes = 4;
const BYTES_PER_CHUNK: Bytes = 150;
const RETRY_RATIO = 0.1;
const NAIVE_ATTEMPTS = 4;
const PROBE_TIME: Millis = 20;
const PUSH_WAIT: Millis = 80;
const POLL_INTERVAL: Millis = 500;
const TICK: Millis = 50;
const SILENCE_TICK: Millis = 1_000;

/** What an entry VM works with. */
export interface EntryOptions {
  readonly vm: VmId;
  readonly region: RegionId;
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  readonly policy: RoutingPolicy;
  readonly configuration: FleetConfiguration;
  readonly vmsInRegion: number;
  readonly replicas: ReadonlyMap<TargetId, Replica>;
  readonly outcomes: Outcomes;
  /** Carries bytes between regions, or at once within one. */
  readonly send: (to: RegionId, bytes: Bytes, deliver: () => void) => void;
  readonly pushQuarantine: (words: readonly QuarantineEntry[]) => void;
}

/** A request that its caller sent, perhaps again. */
export interface SentRequest {
  readonly arrival: Arrival;
  readonly poison: boolean;
  /** Hears how the request ended for its caller. */
  readonly onEnd?: (end: RequestEnd, refusal?: RefusalKind) => void;
}

interface OpenRequest {
  readonly sent: SentRequest;
  readonly ticket: Ticket;
  readonly answer: AnswerAssembler;
  tried: TargetId[];
  attempts: number;
  replacements: number;
  target?: TargetConfig | undefined;
  job?: EngineJob | undefined;
  probe?: ProbeResult | undefined;
  /** Whether the target of the attempt listened when the request arrived. */
  reached: boolean;
  /** Whether the attempt has brought a token. */
  read: boolean;
  mayHaveRun: boolean;
  lastProgress: number;
  firstTokenAt?: number;
}

/** An entry VM that routes by one policy. */
export class Entry {
  readonly #options: EntryOptions;
  readonly #state: RoutingState;
  readonly #choose: ChooseFunction;
  readonly #admission = new Admission();
  readonly #budgets = new RetryBudgets();
  readonly #quarantine = new Quarantine();
  readonly #running = new Set<OpenRequest>();
  readonly #waiting = new Map<string, OpenRequest>();
  readonly #crashing = new Map<TargetId, OpenRequest[]>();
  readonly #cacheSequences = new Map<TargetId, number>();

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#choose = options.policy.createChoose();
    const { configuration, clock, vmsInRegion } = options;
    this.#state = applyTargets(
      createRoutingState({ region: options.region }),
      { configuration, now: clock.readMonotonic(), vms: vmsInRegion },
    );
    this.#startLoops();
  }

  /** Takes a request from a caller. */
  receive(sent: SentRequest): void {
    const now = this.#now;
    const open = createOpenRequest(sent, now);
    if (
      this.#options.policy.guards &&
      this.#quarantine.isQuarantined(sent.arrival.requestKey, now)
    ) {
      return this.#refuse(
        open,
        createNotRunRefusal(RefusalKind.Quarantined, ""),
      );
    }
    if (!this.#options.policy.queues) return this.#startFirst(open);
    const random = this.#options.random.uniform;
    this.#admission.admit(open.ticket, { now, random }).caseOf({
      Left: (refusal) => this.#refuse(open, refusal),
      Right: ({ displaced }) => {
        this.#waiting.set(open.ticket.id, open);
        for (const each of displaced) this.#refuseWaiting(each);
        this.#startReady();
      },
    });
  }

  /** Folds in a cache event of a target. */
  applyCacheEvent(target: TargetId, prefix: string, stored: boolean): void {
    const sequence = (this.#cacheSequences.get(target) ?? 0) + 1;
    this.#cacheSequences.set(target, sequence);
    const change = stored ? CacheChange.Stored : CacheChange.Dropped;
    applyCacheEvents(this.#state, target, [{ sequence, change, prefix }]);
  }

  /** Folds in a peer's quarantine entries. */
  applyQuarantine(words: readonly QuarantineEntry[]): void {
    this.#quarantine.applyEntries(words, this.#now);
  }

  /** Returns the digests that this VM holds for quarantined. */
  listQuarantined(): readonly QuarantineEntry[] {
    return this.#quarantine.listEntries({ now: this.#now })
      .filter((word) => word.quarantined);
  }

  get #now(): number {
    return this.#options.clock.readMonotonic();
  }

  #startLoops(): void {
    const { clock, random, policy } = this.#options;
    clock.schedule(random.uniform() * POLL_INTERVAL, () => {
      this.#pollReports();
      clock.scheduleEvery(POLL_INTERVAL, () => this.#pollReports());
    });
    if (policy.queues) clock.scheduleEvery(TICK, () => this.#expire());
    clock.scheduleEvery(SILENCE_TICK, () => this.#checkSilences());
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
    if (!this.#options.policy.queues) return;
    for (const service of this.#state.services.keys()) {
      this.#admission.takeReady(service, {
        now: this.#now,
        tryStart: (ticket) => this.#tryStart(this.#waiting.get(ticket.id)!),
      });
    }
  }

  #tryStart(open: OpenRequest): boolean {
    const mostLoad = computeMaxLoad(open.ticket.priority);
    const target = this.#chooseFor(open, mostLoad);
    if (target === undefined) return false;
    this.#waiting.delete(open.ticket.id);
    this.#startAttempt(open, target);
    return true;
  }

  #startFirst(open: OpenRequest): void {
    const target = this.#chooseFor(open);
    if (target !== undefined) return this.#startAttempt(open, target);
    this.#refuse(open, createNotRunRefusal(RefusalKind.NoTarget, ""));
  }

  #chooseFor(open: OpenRequest, mostLoad?: number): TargetConfig | undefined {
    const { arrival } = open.sent;
    const { guards, queues } = this.#options.policy;
    const digest = arrival.requestKey;
    const request: RoutedRequest = {
      service: open.ticket.service,
      customer: arrival.customer,
      digest,
      tried: open.tried,
      priority: arrival.kind.priority,
      prefixes: arrival.prefix.tokens > 0 ? [arrival.prefix.id] : [],
      promptTokens: arrival.promptTokens,
      prefixTokens: arrival.prefix.tokens,
      ...guards
        ? { avoided: this.#quarantine.listSuspectTargets(digest, this.#now) }
        : {},
    };
    return this.#choose({
      state: this.#state,
      request,
      now: this.#now,
      random: this.#options.random.uniform,
      ...queues && mostLoad !== undefined ? { mostLoad } : {},
    });
  }

  #startAttempt(open: OpenRequest, target: TargetConfig): void {
    const { outcomes, send } = this.#options;
    const { arrival, poison } = open.sent;
    const position = open.answer.readProgress().position;
    const attempt = open.answer.startAttempt({ resumeAt: position });
    if (attempt === undefined) throw new Error("an attempt may not begin");
    if (open.attempts === 0) {
      outcomes.started++;
      this.#budgets.recordFirstAttempt(open.ticket.service, RETRY_RATIO);
    }
    outcomes.attempts++;
    open.attempts++;
    open.target = target;
    open.probe = undefined;
    open.read = false;
    open.lastProgress = this.#now;
    open.tried = [...open.tried, target.id];
    this.#running.add(open);
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
          this.#receiveToken(open, attempt, position + index);
        }),
      onEnd: (end) =>
        send(target.region, 0, () => this.#receiveEnd(open, job, end)),
    };
    open.job = job;
    const bytes = arrival.promptTokens * BYTES_PER_PROMPT_TOKEN;
    const replica = this.#options.replicas.get(target.id)!;
    send(target.region, bytes, () => {
      open.reached = replica.up;
      open.mayHaveRun ||= open.reached;
      replica.submit(job);
    });
  }

  #receiveToken(open: OpenRequest, attempt: number, position: number): void {
    const chunk = { position, data: "", tokens: 1 };
    if (open.answer.receive(attempt, chunk) !== ChunkAction.Pass) return;
    const now = this.#now;
    if (!open.read) {
      open.read = true;
      const { promptTokens } = open.sent.arrival;
      recordPrefillEnd(this.#state, open.target!.id, promptTokens);
    }
    const { requestKey } = open.sent.arrival;
    this.#quarantine.recordProgress(requestKey, open.target!.id);
    const modelled = open.sent.arrival.outputTokens > 0;
    if (open.firstTokenAt === undefined) {
      open.firstTokenAt = now;
      this.#admission.recordFirstToken(open.ticket.id, now);
      this.#startReady();
    } else if (modelled) {
      this.#options.outcomes.recordGap(now - open.lastProgress);
    }
    open.lastProgress = now;
  }

  #receiveEnd(
    open: OpenRequest,
    job: EngineJob,
    jobEnd: EngineEnd,
  ): void {
    if (open.job !== job || open.target === undefined) return;
    const { target } = open;
    const digest = open.sent.arrival.requestKey;
    const now = this.#now;
    const up = this.#options.replicas.get(target.id)!.up;
    const lost = jobEnd === EngineEnd.Broken && open.reached && !up;
    if (lost && open.sent.poison) {
      this.#options.outcomes.recordPoisonCrash(digest);
    }
    const bytes = computeBytes(open.sent.arrival);
    const attemptEnd = computeAttemptEnd(jobEnd, open.reached);
    open.job = undefined;
    this.#running.delete(open);
    recordAttemptEnd(this.#state, target.id, {
      now,
      end: attemptEnd,
      unreadTokens: open.read ? 0 : open.sent.arrival.promptTokens,
      expectedBytes: bytes,
      bytes,
    });
    if (jobEnd === EngineEnd.Complete) {
      const options = { target: target.id, complete: true };
      this.#quarantine.recordEnd(digest, options);
      this.#complete(open);
    } else if (lost && this.#options.policy.guards) {
      this.#recordLoss(open, target.id);
    } else {
      const options = { target: target.id, complete: false };
      this.#quarantine.recordEnd(digest, options);
      // A silent attempt was cancelled by this VM; its caller still waits.
      const end = open.reached ? AttemptEnd.Broken : attemptEnd;
      this.#retry(open, { lost, end });
    }
    this.#startReady();
  }

  /** Proves a crash by a probe, tells peers, and only then retries. */
  #recordLoss(open: OpenRequest, target: TargetId): void {
    const known = this.#crashing.get(target);
    if (known !== undefined) return void known.push(open);
    this.#crashing.set(target, [open]);
    const { clock, pushQuarantine } = this.#options;
    clock.schedule(PROBE_TIME, () => {
      const now = this.#now;
      recordProbe(this.#state, target, { answered: false, now });
      const { changed } = this.#quarantine.recordCrash(target, now);
      const words = this.#quarantine.listEntries({ now })
        .filter((word) => changed.includes(word.digest));
      pushQuarantine(words);
      clock.schedule(PUSH_WAIT, () => {
        const lost = this.#crashing.get(target) ?? [];
        this.#crashing.delete(target);
        const end = AttemptEnd.Broken;
        for (const each of lost) this.#retry(each, { lost: true, end });
      });
    });
  }

  #retry(
    open: OpenRequest,
    failure: { readonly lost: boolean; readonly end: AttemptEnd },
  ): void {
    if (!this.#options.policy.guards) return this.#retryNaively(open);
    const { arrival } = open.sent;
    const now = this.#now;
    const decision = decideRetry({
      service: open.ticket.service,
      repeatability: arrival.kind.repeatability,
      ...failure,
      mayHaveRun: open.mayHaveRun,
      attempts: open.attempts,
      replacements: open.replacements,
      passedOn: open.answer.readProgress().position,
      resumable: true,
      quarantined: this.#quarantine.isQuarantined(arrival.requestKey, now),
      deadline: open.ticket.deadline,
    }, { budgets: this.#budgets, now, random: this.#options.random.uniform });
    if (decision.action === RetryAction.GiveUp) return this.#fail(open);
    const { clock } = this.#options;
    if (decision.action === RetryAction.Wait) {
      return void clock.schedule(
        decision.after,
        () => this.#retry(open, failure),
      );
    }
    this.#budgets.recordExtraAttempt(open.ticket.service, decision.extra);
    if (decision.extra === ExtraAttempt.Replacement) open.replacements++;
    clock.schedule(decision.after, () => this.#startAgain(open));
  }

  #retryNaively(open: OpenRequest): void {
    const once = open.mayHaveRun &&
      open.sent.arrival.kind.repeatability === Repeatability.Once;
    if (once || open.attempts >= NAIVE_ATTEMPTS) return this.#fail(open);
    this.#startAgain(open);
  }

  #startAgain(open: OpenRequest): void {
    const target = this.#chooseFor(open);
    if (target !== undefined) return this.#startAttempt(open, target);
    const { policy, clock } = this.#options;
    if (!policy.guards || this.#now >= open.ticket.deadline) {
      return this.#fail(open);
    }
    // Every target was tried or is out: any of them will do again later.
    open.tried = open.tried.slice(-1);
    clock.schedule(PUSH_WAIT, () => this.#startAgain(open));
  }

  #checkSilences(): void {
    for (const open of [...this.#running]) {
      const silence = this.#now - open.lastProgress;
      if (silence < PROGRESS_TIMEOUT) continue;
      if (this.#options.policy.guards) this.#checkSilence(open);
      else this.#breakOff(open);
    }
  }

  #checkSilence(open: OpenRequest): void {
    const target = open.target!;
    const action = decideSilence({
      lastProgress: open.lastProgress,
      begun: open.answer.readProgress().position > 0,
      progressTimeout: PROGRESS_TIMEOUT,
      capacity: target.capacity,
      ...open.probe === undefined ? {} : { probe: open.probe },
    }, this.#now);
    if (action === SilenceAction.Probe) {
      const load = this.#options.replicas.get(target.id)!.readReport();
      const at = this.#now;
      open.probe = load === undefined ? { at } : { at, load };
    } else if (action !== SilenceAction.Wait) this.#breakOff(open);
  }

  /** Cancels the attempt; its end leads to a retry. */
  #breakOff(open: OpenRequest): void {
    const replica = this.#options.replicas.get(open.target!.id)!;
    const job = open.job;
    if (job !== undefined) replica.cancel(job);
  }

  #complete(open: OpenRequest): void {
    this.#finish(open, RequestEnd.Complete);
  }

  #fail(open: OpenRequest): void {
    this.#finish(open, RequestEnd.Failed);
  }

  #finish(open: OpenRequest, end: RequestEnd, refusal?: RefusalKind): void {
    const { arrival } = open.sent;
    const now = this.#now;
    open.answer.close();
    this.#admission.finish(open.ticket.id, {
      now,
      tokens: arrival.outputTokens,
      complete: end === RequestEnd.Complete,
    });
    this.#options.outcomes.recordEnd({
      arrival,
      end,
      endedAt: now,
      ...open.firstTokenAt === undefined
        ? {}
        : { firstTokenAt: open.firstTokenAt },
      ...refusal === undefined ? {} : { refusal },
    });
    open.sent.onEnd?.(end, refusal);
  }

  #refuse(open: OpenRequest, refusal: Refusal): void {
    this.#finish(open, RequestEnd.Refused, refusal.kind);
  }

  #refuseWaiting(
    refused: { readonly ticket: Ticket; readonly refusal: Refusal },
  ): void {
    const open = this.#waiting.get(refused.ticket.id);
    this.#waiting.delete(refused.ticket.id);
    if (open !== undefined) this.#refuse(open, refused.refusal);
  }
}

function createOpenRequest(sent: SentRequest, now: number): OpenRequest {
  const { arrival } = sent;
  const plain = arrival.kind.promptTokens === 0;
  return {
    sent,
    ticket: {
      id: `${arrival.requestKey}/${now}`,
      customer: arrival.customer,
      service: plain ? "plain" : "engine",
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
    reached: false,
    read: false,
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
