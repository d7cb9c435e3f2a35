/**
 * Keeps the targets that have registered themselves, and for each the state
 * that routing needs: attempts in progress, failures and load, as seen by this
 * VM.
 */
import { LRUCache } from "lru-cache";
import type { Either } from "purify-ts";
import {
  combineUndo,
  createEmptyConfiguration,
  type DataCentreId,
  type Millis,
  type MonotonicTime,
  type Refusal,
  RefusalKind,
  type ReleaseId,
  type ServiceConfig,
  type ServiceId,
  ServiceType,
  type TargetConfig,
  type TargetId,
  type Undo,
} from "../../core/mod.ts";
import type { GatewayConfiguration, RouteConfig } from "../../routes/mod.ts";
import {
  applyListedTargets,
  applyReport,
  applyTargets,
  type AttemptFinish,
  type AttemptStart,
  changeEvacuated,
  changeRegion,
  choosePlacement,
  computeHealth,
  createRoutingState,
  findPausedRefusal,
  type LimitNotice,
  MAX_LIST_AGE,
  type Placement,
  type PlacementInput,
  recordAttemptEnd,
  recordAttemptStart,
  recordColdTurn,
  recordLimit,
  recordPause,
  recordPrefillEnd,
  recordProbe,
  recordTurn,
  ReleaseHistory,
  type RoutingState,
  type SeenReleases,
  TargetHealth,
  type TurnClock,
  type TurnGroup,
  type VmOrder,
} from "../../routing/mod.ts";
import { LogEvent, type LogFields } from "../../runtime/mod.ts";
import type { AnswerHead, ListedTarget, LoadReport } from "../dialect.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { ColdTargets } from "./cold_targets.ts";
import { FeedFollower, type RowChange } from "./feed_follower.ts";
import { isSameProcess } from "./is_same_process.ts";
import { findRegion } from "./find_region.ts";
import { readStoreTime } from "./read_store_time.ts";

/** Maximum time that one call waits for changes. */
const MAX_FEED_WAIT: Millis = 1_000;

/** Pause between two calls, which batches the frequent writes of targets. */
const FEED_PAUSE: Millis = 500;

/**
 * Time from the start after which a VM counts its targets as loaded though they
 * may have been read from a copy that lags.
 */
const MAX_CONFIRMATION_WAIT: Millis = 3_000;

/**
 * Time for which a target is kept after its entry has disappeared, if a call to
 * the store failed less than this time before. The target may still be up and
 * only have been unable to renew its entry.
 */
const MISSING_GRACE_PERIOD: Millis = 2_200;

/** Maximum number of targets that are remembered to have said they leave. */
const MAX_LEAVING_TARGETS = 4_096;

/**
 * Placeholders for required fields of a service that are not used here. The
 * gateway takes the limits of retries and progress from its settings and from
 * the route.
 */
const SERVICE_DEFAULTS = {
  path: "",
  checksRequestKeys: false,
  checksFencing: false,
  longestOrder: 0,
  retryRatio: 0,
  progressTimeout: 0,
};

/** Refusals that say that no target is usable. */
const NO_TARGET_REFUSALS: ReadonlySet<RefusalKind> = new Set([
  RefusalKind.NoTarget,
  RefusalKind.NoHomeTarget,
]);

/** What a choice depends on besides the targets, the VM and the time. */
type ChoiceInput = Omit<
  PlacementInput,
  "now" | "dataCentre" | "turns" | "coldTurns"
>;

/** Follows the registered targets and chooses a target for each attempt. */
export class TargetRegistry {
  readonly #context: GatewayContext;
  readonly #findVmOrder: () => VmOrder | undefined;
  readonly #follower: FeedFollower<ListedTarget>;
  readonly #listed = new Map<TargetId, ListedTarget>();
  /** When to remove each target whose entry has disappeared. */
  readonly #missing = new Map<TargetId, MonotonicTime>();
  /** Entries of the targets whose answers said that they are leaving. */
  readonly #saidLeaving = new LRUCache<TargetId, ListedTarget>({
    max: MAX_LEAVING_TARGETS,
  });
  readonly #ejected = new Set<TargetId>();
  readonly #removalListeners: ((target: TargetId) => void)[] = [];
  readonly #listingListeners: ((entry: ListedTarget) => void)[] = [];
  readonly #limitListeners:
    ((target: ListedTarget, notice: LimitNotice) => void)[] = [];
  readonly #state: RoutingState;
  readonly #releases = new ReleaseHistory();
  #startedAt: MonotonicTime = Infinity;
  /** Number of targets that limit their requests. */
  #limitedTargets = 0;
  readonly #cold: ColdTargets;

  constructor(
    context: GatewayContext,
    options: {
      /** Returns this VM's place among all; undefined if not known yet. */
      readonly findVmOrder: () => VmOrder | undefined;
      /** Returns the VMs that divide the turns at cold targets. */
      readonly findTurnGroup: () => TurnGroup | undefined;
    },
  ) {
    this.#context = context;
    this.#findVmOrder = options.findVmOrder;
    this.#state = createRoutingState(
      context.region === undefined ? {} : { region: context.region },
    );
    this.#cold = new ColdTargets(context, {
      state: this.#state,
      findTurnGroup: options.findTurnGroup,
      readStoreAnswer: () => context.dialect.table.readTime?.(),
    });
    this.#follower = new FeedFollower(context, {
      name: "targets",
      feed: context.dialect.targets,
      wait: MAX_FEED_WAIT,
      pause: FEED_PAUSE,
      apply: (changes) => this.#apply(changes),
    });
  }

  /** Registers the dump and starts to follow the targets. */
  register(): Undo {
    this.#startedAt = this.#context.clock.readMonotonic();
    return combineUndo([
      this.#context.kernel.registerDump("targets", () => this.#describe()),
      this.#follower.register(),
    ]);
  }

  /**
   * Whether the targets were loaded at least once. Where a service of the routes
   * has none, the load may lack them until the feed has gone on from it, which
   * is waited for within a limit.
   */
  isLoadedFor(routes: readonly RouteConfig[]): boolean {
    if (!this.#follower.isLoaded) return false;
    if (this.#follower.currentUntil !== undefined) return true;
    const waited = this.#context.clock.readMonotonic() - this.#startedAt;
    if (waited > MAX_CONFIRMATION_WAIT) return true;
    const listed = new Set(
      [...this.#listed.values()].map((each) => each.service),
    );
    return routes.every(({ services }) =>
      services.every(({ service, weight }) =>
        weight === 0 || listed.has(service)
      )
    );
  }

  /** Sets the number of VMs that share the targets, this one included. */
  changeVmCount(count: number): void {
    this.#state.vms.count = Math.max(1, count);
  }

  /** Applies the regions of changed settings to this VM and all targets. */
  applyRegions(): void {
    changeRegion(this.#state, this.#context.region);
    this.#rebuild();
  }

  /** Applies what a new configuration says of services with cold targets. */
  applyServices(services: GatewayConfiguration["services"]): void {
    this.#cold.applyServices(services);
  }

  /** Applies changed settings of cold targets. */
  applyColdSettings(): void {
    this.#cold.applySettings();
  }

  /** Sets the data centres whose targets get no requests from now on. */
  applyEvacuations(dataCentres: ReadonlySet<DataCentreId>): void {
    changeEvacuated(this.#state, dataCentres);
  }

  /** Whether any data centre is evacuated. */
  get hasEvacuations(): boolean {
    return this.#state.evacuated !== undefined;
  }

  /** Whether the targets were loaded at least once. */
  get isLoaded(): boolean {
    return this.#follower.isLoaded;
  }

  /** Whether the settings or the entry of a target name a data centre. */
  hasDataCentre(dataCentre: DataCentreId): boolean {
    const { settings } = this.#context;
    return findRegion(settings, dataCentre) !== undefined ||
      settings.dataCentre === dataCentre ||
      [...this.#listed.values()].some((each) => each.dataCentre === dataCentre);
  }

  /** Adds a function that is called with the id of each removed target. */
  addRemovalListener(listener: (target: TargetId) => void): void {
    this.#removalListeners.push(listener);
  }

  /** Adds a function that is called with each new or changed entry. */
  addListingListener(listener: (entry: ListedTarget) => void): void {
    this.#listingListeners.push(listener);
  }

  /**
   * Adds a function that is called when an answer of a target changes what is
   * known of its limit.
   */
  addLimitListener(
    listener: (target: ListedTarget, notice: LimitNotice) => void,
  ): void {
    this.#limitListeners.push(listener);
  }

  /** Returns a target's entry; undefined for an unknown target. */
  find(id: TargetId): ListedTarget | undefined {
    return this.#listed.get(id);
  }

  /** Returns the target that is listed at `host:port`, if there is one. */
  findAt(address: string): ListedTarget | undefined {
    return [...this.#listed.values()]
      .find(({ host, port }) => `${host}:${port}` === address);
  }

  /**
   * Whether a target that was listed by an entry may have been replaced by
   * another process or another release since.
   */
  isReplaced(entry: ListedTarget): boolean {
    const current = this.#listed.get(entry.id);
    return current !== undefined &&
      (current.incarnation !== entry.incarnation ||
        current.release !== entry.release);
  }

  /** Whether the list shows all targets but the newest. */
  get isListCurrent(): boolean {
    const now = this.#context.clock.readMonotonic();
    return now - (this.#follower.currentUntil ?? -Infinity) <= MAX_LIST_AGE;
  }

  /** Returns the releases of a service that are listed now. */
  listReleases(service: ServiceId): ReleaseId[] {
    const listed = [...this.#listed.values()]
      .filter((entry) => entry.service === service);
    return [...new Set(listed.map((entry) => entry.release))];
  }

  /** Returns the releases of a service that were listed in the last `period`. */
  listSeenReleases(service: ServiceId, period: Millis): SeenReleases {
    this.#recordReleases();
    return this.#releases.listSeen(service, {
      now: this.#context.clock.readMonotonic(),
      period,
      currentUntil: this.#follower.currentUntil,
    });
  }

  /**
   * Chooses the target of an attempt that starts now; a Left if none is usable.
   * At a target that limits its requests this uses a turn of this VM.
   */
  choose(input: ChoiceInput): Either<Refusal, Placement> {
    return this.#place(input).ifRight(({ target, turn, coldTurn }) => {
      if (turn !== undefined) recordTurn(this.#state, target.id, turn);
      if (coldTurn !== undefined) {
        recordColdTurn(this.#state, target.id, coldTurn);
      }
    });
  }

  /** Whether an attempt that started now would have a target. */
  hasChoice(input: ChoiceInput): boolean {
    return this.#place(input).isRight();
  }

  /**
   * Returns the refusal of a request for which no target is usable; undefined if
   * one is, even if it is full or takes no requests at the moment.
   */
  findNoTarget(input: ChoiceInput): Refusal | undefined {
    return this.#place(input).swap().toMaybe()
      .filter(({ kind }) => NO_TARGET_REFUSALS.has(kind)).extract();
  }

  #place(input: ChoiceInput): Either<Refusal, Placement> {
    this.#dropMissing();
    this.#cold.expire();
    const now = this.#context.clock.readMonotonic();
    const { dataCentre } = this.#context.settings;
    const turns = this.#readTurnClock();
    const coldTurns = this.#cold.readClock();
    return choosePlacement(this.#state, {
      ...input,
      now,
      dataCentre,
      ...(turns === undefined ? {} : { turns }),
      ...(coldTurns === undefined ? {} : { coldTurns }),
    });
  }

  /** Records the start of an attempt at a target. */
  recordStart(target: TargetId, start: AttemptStart): void {
    recordAttemptStart(this.#state, target, start);
  }

  /** Records that a target has processed the prompt of an attempt. */
  recordPrefillEnd(target: TargetId, tokens: number): void {
    recordPrefillEnd(this.#state, target, tokens);
  }

  /** Records the end of an attempt and logs a change of the target's health. */
  recordEnd(target: TargetId, finish: AttemptFinish): void {
    recordAttemptEnd(this.#state, target, finish);
    this.#logHealthChange(target);
  }

  /** Records the load that a target has reported. */
  recordLoad(target: TargetId, load: LoadReport): void {
    applyReport(this.#state, target, {
      now: this.#context.clock.readMonotonic(),
      report: {
        running: load.running,
        queued: load.waiting,
        leaving: this.#listed.get(target)?.leaving ?? false,
        models: [],
      },
    });
  }

  /**
   * Records that an answer of a target said that it is leaving. Its entry may
   * say so later or never. It holds for that process only, and longer than its
   * entry, which may disappear for a while.
   */
  recordLeaving(target: ListedTarget): void {
    if (this.isReplaced(target) || this.#isLeaving(target)) return;
    this.#saidLeaving.set(target.id, target);
    this.#context.log.info(LogEvent.TargetLeaving, {
      ...describeEntry(target),
      source: "answer",
    });
    this.#applyLeaving();
  }

  /** Records that an answer of a target asked this VM for a pause. */
  recordPause(target: ListedTarget, pause: Millis): void {
    if (this.isReplaced(target)) return;
    const until = this.#context.clock.readMonotonic() + pause;
    if (!recordPause(this.#state, target.id, until)) return;
    this.#context.log.info(LogEvent.TargetPaused, {
      target: target.id,
      service: target.service,
      for_ms: Math.round(pause),
    });
  }

  /**
   * Returns the refusal of a request while all targets that could run it have
   * asked this VM for a pause; undefined otherwise.
   */
  findPausedRefusal(
    input: Pick<ChoiceInput, "service" | "release" | "homeRegions">,
  ): Refusal | undefined {
    const now = this.#context.clock.readMonotonic();
    return findPausedRefusal(this.#state, { ...input, now });
  }

  /**
   * Records what an answer to a request says of its target's limit. The request
   * was sent `age` ago. An answer without a limit counts as of then, since it
   * may have been made before the limit was named, and not at all if it was not
   * run, since it may come from another process.
   */
  recordLimit(
    target: ListedTarget,
    input: { readonly head: AnswerHead; readonly age: Millis },
  ): void {
    const { limit, notRun } = input.head;
    const now = readStoreTime(this.#context);
    const isUnknown = limit === undefined
      ? notRun
      : limit.perSecond === undefined;
    if (now === undefined || isUnknown || this.isReplaced(target)) return;
    const notice = limit === undefined
      ? { at: now - input.age }
      : { ...limit, at: now };
    if (!this.applyLimit(target, notice)) return;
    for (const listener of this.#limitListeners) listener(target, notice);
  }

  /**
   * Applies what a target has said of its limit, unless something newer is
   * known. Returns whether the limit has changed.
   */
  applyLimit(target: ListedTarget, notice: LimitNotice): boolean {
    if (!recordLimit(this.#state, target.id, notice)) return false;
    this.#context.log.info(LogEvent.TargetLimited, {
      target: target.id,
      service: target.service,
      per_second: notice.perSecond ?? "none",
      vms: this.#findVmOrder()?.count,
    });
    this.#countLimited();
    return true;
  }

  /**
   * Records that a target did not run an attempt: it is full, or another target
   * has answered at its address. A full target that reports no load is assumed
   * to run a request in each slot and to have as many queued.
   */
  recordRefusal(
    target: TargetId,
    refusal: { readonly isOther: boolean; readonly load?: LoadReport },
  ): void {
    const now = this.#context.clock.readMonotonic();
    if (refusal.isOther) {
      recordProbe(this.#state, target, { answered: false, now });
      this.#cold.recordUnreached(target, true);
      return;
    }
    const slots = this.#listed.get(target)?.slots ?? 1;
    const full = { running: slots, waiting: slots, slots };
    this.recordLoad(target, refusal.load ?? full);
  }

  /**
   * Records that a connection to a target could not be established, over any
   * path, or that its machine refused it.
   */
  recordUnreached(target: TargetId, isRefused: boolean): void {
    this.#cold.recordUnreached(target, isRefused);
  }

  /** Records an answer of a target to a request. */
  recordAnswered(target: ListedTarget): void {
    this.#cold.recordAnswered(target.id);
  }

  /**
   * Records that the targets of a data centre are cold, since its evacuation has
   * ended.
   */
  recordColdDataCentre(dataCentre: DataCentreId): void {
    const targets = [...this.#listed.values()]
      .filter((entry) => entry.dataCentre === dataCentre);
    this.#cold.recordEvacuated(targets.map((entry) => entry.id));
  }

  #readTurnClock(): TurnClock | undefined {
    if (this.#limitedTargets === 0) return undefined;
    const order = this.#findVmOrder();
    const now = readStoreTime(this.#context);
    return order === undefined || now === undefined
      ? undefined
      : { order, now };
  }

  #countLimited(): void {
    this.#limitedTargets = [...this.#state.targets.values()]
      .filter((target) => target.limit?.perSecond !== undefined).length;
    this.#context.metrics.limitedTargets.set(this.#limitedTargets);
  }

  #apply(changes: readonly RowChange<ListedTarget>[]): void {
    let hasRemoved = false;
    const changed: ListedTarget[] = [];
    this.#recordReleases();
    for (const { key, value } of changes) {
      if (value === undefined) {
        hasRemoved = this.#applyMissing(key) || hasRemoved;
      } else if (this.#applyEntry(value)) changed.push(value);
    }
    if (hasRemoved || changed.length > 0) this.#rebuild();
    this.#cold.recordEntries(changes.flatMap(({ value }) => value ?? []));
    for (const entry of changed) {
      for (const listener of this.#listingListeners) listener(entry);
    }
  }

  /** Records the listed releases, before entries change and when asked. */
  #recordReleases(): void {
    const now = this.#context.clock.readMonotonic();
    this.#releases.recordListed(this.#listed.values(), now);
  }

  #applyEntry(entry: ListedTarget): boolean {
    const known = this.#listed.get(entry.id);
    this.#missing.delete(entry.id);
    if (known !== undefined && isSameEntry(known, entry)) return false;
    const { log } = this.#context;
    const fields = describeEntry(entry);
    if (known !== undefined && known.incarnation !== entry.incarnation) {
      // The state of the previous process doesn't apply to the new one.
      this.#state.targets.remove(entry.id);
    }
    this.#listed.set(entry.id, entry);
    if (entry.leaving) log.info(LogEvent.TargetLeaving, fields);
    else log.info(LogEvent.TargetListed, fields);
    return true;
  }

  #applyMissing(id: TargetId): boolean {
    if (!this.#listed.has(id) || this.#missing.has(id)) return false;
    const now = this.#context.clock.readMonotonic();
    const mayReturn = now - this.#follower.lastFailure < MISSING_GRACE_PERIOD;
    if (mayReturn) {
      this.#missing.set(id, now + MISSING_GRACE_PERIOD);
      return false;
    }
    return this.#drop(id);
  }

  #dropMissing(): void {
    if (this.#missing.size === 0) return;
    this.#recordReleases();
    const now = this.#context.clock.readMonotonic();
    let hasChanged = false;
    for (const [id, until] of this.#missing) {
      if (now < until) continue;
      this.#missing.delete(id);
      hasChanged = this.#drop(id) || hasChanged;
    }
    if (hasChanged) this.#rebuild();
  }

  #drop(id: TargetId): boolean {
    const known = this.#listed.get(id);
    if (known === undefined) return false;
    this.#listed.delete(id);
    this.#ejected.delete(id);
    this.#cold.remove(id);
    // Without an incarnation, the next process under the id looks the same.
    if (known.incarnation === "") this.#saidLeaving.delete(id);
    for (const listener of this.#removalListeners) listener(id);
    this.#context.log.info(LogEvent.TargetGone, {
      target: id,
      service: known.service,
      life: known.incarnation,
    });
    return true;
  }

  #rebuild(): void {
    const groups = new Map<ServiceId, TargetConfig[]>();
    for (const entry of this.#listed.values()) {
      const group = groups.get(entry.service) ?? [];
      groups.set(entry.service, group);
      group.push(this.#createTarget(entry));
    }
    const services = new Map<ServiceId, ServiceConfig>();
    for (const [id, targets] of groups) {
      const type = ServiceType.PlainService;
      services.set(id, { ...SERVICE_DEFAULTS, id, type, targets });
    }
    applyTargets(this.#state, {
      configuration: { ...createEmptyConfiguration(), services },
      now: this.#context.clock.readMonotonic(),
      vms: this.#state.vms.count,
    });
    this.#applyLeaving();
    this.#countLimited();
  }

  /** Applies which of the listed targets are leaving. */
  #applyLeaving(): void {
    const leaving = [...this.#listed.values()]
      .filter((each) => this.#isLeaving(each));
    applyListedTargets(this.#state, new Set(leaving.map((each) => each.id)));
    const { metrics } = this.#context;
    metrics.targets.set({ state: "leaving" }, leaving.length);
    metrics.targets.set(
      { state: "ready" },
      this.#listed.size - leaving.length,
    );
  }

  #isLeaving(entry: ListedTarget): boolean {
    const said = this.#saidLeaving.get(entry.id);
    return entry.leaving || (said !== undefined && isSameProcess(said, entry));
  }

  #createTarget(entry: ListedTarget): TargetConfig {
    const { dataCentre } = entry;
    const region = findRegion(this.#context.settings, dataCentre);
    return {
      id: entry.id,
      service: entry.service,
      url: `http://${entry.host}:${entry.port}`,
      region: region ?? dataCentre,
      ...(region === undefined ? { isRegionUnknown: true } : {}),
      dataCentre,
      release: entry.release,
      capacity: entry.slots,
    };
  }

  #logHealthChange(id: TargetId): void {
    const state = this.#state.targets.get(id);
    if (state === undefined) return;
    const now = this.#context.clock.readMonotonic();
    const isEjected = computeHealth(state, now) === TargetHealth.Ejected;
    if (isEjected === this.#ejected.has(id)) return;
    const { log } = this.#context;
    if (isEjected) this.#ejected.add(id);
    else this.#ejected.delete(id);
    const event = isEjected ? LogEvent.TargetEjected : LogEvent.TargetBack;
    log.warn(event, { target: id, failures: state.failures });
  }

  #describe(): unknown {
    const now = this.#context.clock.readMonotonic();
    return [...this.#state.targets.values()].map((each) => ({
      id: each.config.id,
      service: each.config.service,
      dataCentre: each.config.dataCentre,
      region: each.config.region,
      health: computeHealth(each, now),
      inFlight: each.inFlight,
      unreadTokens: each.unreadTokens,
      failures: each.failures,
      limit: each.limit?.perSecond,
      cold: each.cold !== undefined && now < each.cold.until,
    }));
  }
}

function describeEntry(entry: ListedTarget): LogFields {
  return {
    target: entry.id,
    service: entry.service,
    data_centre: entry.dataCentre,
    release: entry.release,
    life: entry.incarnation,
  };
}

/**
 * Whether two entries agree in the fields that matter here. Entries are
 * rewritten often, mostly without a change of these.
 */
function isSameEntry(left: ListedTarget, right: ListedTarget): boolean {
  return isSameProcess(left, right) && left.service === right.service &&
    left.dataCentre === right.dataCentre && left.slots === right.slots &&
    left.leaving === right.leaving;
}
