/**
 * Keeps which targets are cold: those that have just started, or may have, and
 * tolerate few requests from all VMs together. It learns that from the targets'
 * entries, from attempts that find no connection and from evacuations that end,
 * and applies it to the routing state, which bounds what this VM sends.
 */
import { LRUCache } from "lru-cache";
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type ServiceId,
  type StoreTime,
  type TargetId,
} from "../../core/mod.ts";
import type { GatewayConfiguration } from "../../routes/mod.ts";
import {
  applyReportedCold,
  type ColdPeriod,
  ColdReason,
  type ColdTimes,
  type ColdTurnClock,
  type ColdTurns,
  computeColdTurns,
  findColdPeriod,
  recordAnswered,
  recordCold,
  recordColdEvent,
  recordUnreached,
  type RoutingState,
  type TurnGroup,
  TurnTime,
} from "../../routing/mod.ts";
import { LogEvent } from "../../runtime/mod.ts";
import type { GatewaySettings } from "../../settings/mod.ts";
import type { ListedTarget } from "../dialect.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { isSameProcess } from "./is_same_process.ts";

/** Maximum number of targets whose processes and times are kept. */
const MAX_KNOWN_TARGETS = 4_096;

/**
 * Time for which targets stay cold in addition after an evacuation, since VMs
 * learn of its end at different times.
 */
const EVACUATION_END_SPREAD: Millis = 1_000;

/** Interval at which ends are looked for while no request or entry shows them. */
const END_CHECK_INTERVAL: Millis = 500;

/**
 * Time by which the end of a cold time must be later than logged to be logged
 * again. It bounds the lines for an entry whose remaining time never falls.
 */
const LOGGED_EXTENSION: Millis = 5_000;

/** What is kept of a target, also while it is not listed. */
interface KnownTarget {
  readonly entry: ListedTarget;
  readonly times: ColdTimes;
}

/** A target that is cold, and until when according to its last log line. */
interface LoggedCold extends ColdPeriod {
  readonly loggedUntil: MonotonicTime;
}

/** How the cold targets of a service are treated. */
interface ColdService {
  readonly coldStart: Millis;
  readonly turns: ColdTurns;
}

/** What cold targets need of their gateway. */
export type ColdContext = Pick<GatewayContext, "clock" | "log" | "metrics"> & {
  readonly settings: Pick<GatewaySettings, "coldTargets">;
};

/** The targets that are cold, as one VM knows it. */
export class ColdTargets {
  readonly #context: ColdContext;
  readonly #options: ColdTargetsOptions;
  readonly #known = new LRUCache<TargetId, KnownTarget>({
    max: MAX_KNOWN_TARGETS,
  });
  /** Services of which this VM knew targets at some time. */
  readonly #knownServices = new Set<ServiceId>();
  /** The targets that are cold. */
  readonly #cold = new Map<TargetId, LoggedCold>();
  readonly #time = new TurnTime();
  /** Runs while targets are cold. */
  #timer: NodeJS.Timeout | undefined;
  /** When any target last answered. */
  #answeredAt: MonotonicTime = -Infinity;
  #services: GatewayConfiguration["services"] = new Map();
  /** The services whose targets may be cold. */
  #coldServices: ReadonlyMap<ServiceId, ColdService> = new Map();

  constructor(context: ColdContext, options: ColdTargetsOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Applies the services of a new configuration. */
  applyServices(services: GatewayConfiguration["services"]): void {
    this.#services = services;
    this.applySettings();
  }

  /** Applies the services and the settings to all targets. */
  applySettings(): void {
    const { coldTargets } = this.#context.settings;
    const before = this.#coldServices;
    this.#coldServices = new Map(
      coldTargets === undefined
        ? []
        : [...this.#services.values()].flatMap((service) => {
          const { id, coldStart, coldPerSecond: perSecond } = service;
          if (perSecond === 0) return [];
          const turns = computeColdTurns({ ...coldTargets, perSecond });
          return [[id, { coldStart, turns }] as const];
        }),
    );
    if (before.size === 0 && this.#coldServices.size === 0) return;
    for (const id of [...this.#known.keys()]) this.#update(id);
  }

  /** Records entries that were just read and are listed now. */
  recordEntries(entries: readonly ListedTarget[]): void {
    if (!this.#isEnabled) return;
    this.#readTime();
    const earlierServices = new Set(this.#knownServices);
    for (const entry of entries) {
      this.#recordEntry(entry, earlierServices.has(entry.service));
      this.#knownServices.add(entry.service);
    }
    this.expire();
  }

  /** Records that a target is not listed any more. */
  remove(target: TargetId): void {
    if (this.#cold.delete(target)) this.#recordCount();
  }

  /**
   * Records that an attempt found no connection to a target, or, as a refusal,
   * that no process or another one listens at its address.
   */
  recordUnreached(target: TargetId, isRefused: boolean): void {
    const now = this.#context.clock.readMonotonic();
    const answeredAt = this.#answeredAt;
    this.#change(
      target,
      (times) => recordUnreached(times, { isRefused, answeredAt, now }),
    );
  }

  /** Records that a target has answered. */
  recordAnswered(target: TargetId): void {
    const now = this.#context.clock.readMonotonic();
    this.#answeredAt = now;
    this.#change(target, (times) => recordAnswered(times, now));
  }

  /** Records that the evacuation of targets has ended. */
  recordEvacuated(targets: readonly TargetId[]): void {
    const now = this.#context.clock.readMonotonic();
    const event = {
      reason: ColdReason.Evacuated,
      from: now + EVACUATION_END_SPREAD,
    };
    for (const target of targets) {
      this.#change(target, (times) => recordColdEvent(times, event));
    }
  }

  /** Ends the cold time of targets whose time is up. */
  expire(): void {
    if (this.#cold.size === 0) return;
    const now = this.#context.clock.readMonotonic();
    for (const [id, { until }] of [...this.#cold]) {
      if (until <= now) this.#update(id);
    }
  }

  /**
   * Returns the turns of this VM at cold targets; undefined if no target is cold
   * or if the VMs or the store's time are not known yet.
   */
  readClock(): ColdTurnClock | undefined {
    if (this.#cold.size === 0) return undefined;
    const group = this.#options.findTurnGroup();
    const now = this.#readTime();
    return group === undefined || now === undefined
      ? undefined
      : { group, now };
  }

  get #isEnabled(): boolean {
    return this.#context.settings.coldTargets !== undefined;
  }

  #readTime(): StoreTime | undefined {
    const answer = this.#options.readStoreAnswer();
    if (answer === undefined) return undefined;
    return this.#time.read(answer, this.#context.clock.readMonotonic());
  }

  #recordEntry(entry: ListedTarget, isServiceKnown: boolean): void {
    const now = this.#context.clock.readMonotonic();
    const known = this.#known.get(entry.id);
    let times = known?.times ?? {};
    if (known === undefined || !isSameProcess(known.entry, entry)) {
      this.remove(entry.id);
      const event = { reason: ColdReason.Started, from: now };
      times = isServiceKnown ? recordColdEvent({}, event) : {};
    }
    const remaining = entry.coldRemaining;
    times = applyReportedCold(times, { remaining, now });
    const isUnchanged = times === known?.times;
    if (!isUnchanged) this.#known.set(entry.id, { entry, times });
    // One that was removed and is listed again may be cold by an earlier event.
    if (isUnchanged && this.#cold.has(entry.id)) return;
    this.#update(entry.id);
  }

  #change(target: TargetId, apply: (times: ColdTimes) => ColdTimes): void {
    if (!this.#isEnabled) return;
    const known = this.#known.get(target);
    if (known === undefined) return;
    const times = apply(known.times);
    if (times === known.times) return;
    this.#known.set(target, { entry: known.entry, times });
    this.#update(target);
  }

  /** Applies what is known of a target to the routing state. */
  #update(id: TargetId): void {
    const { state } = this.#options;
    const known = this.#known.get(id);
    const listed = state.targets.get(id);
    if (known === undefined || listed === undefined) return;
    const { service } = listed.config;
    const cold = this.#coldServices.get(service);
    const period = cold && findColdPeriod(known.times, {
      coldStart: cold.coldStart,
      now: this.#context.clock.readMonotonic(),
    });
    recordCold(
      state,
      id,
      period && { until: period.until, turns: cold.turns },
    );
    this.#logChange(listed.config, { period, turns: cold?.turns });
  }

  #logChange(
    { id: target, service }: { readonly id: TargetId; service: ServiceId },
    input: {
      readonly period: ColdPeriod | undefined;
      readonly turns: ColdTurns | undefined;
    },
  ): void {
    const { clock, log } = this.#context;
    const { period, turns } = input;
    const before = this.#cold.get(target);
    if (period === undefined) {
      if (!this.#cold.delete(target)) return;
      log.info(LogEvent.TargetWarm, { target, service });
      return this.#recordCount();
    }
    this.#timer ??= this.#startTimer();
    const isNews = before === undefined ||
      period.until > before.loggedUntil + LOGGED_EXTENSION ||
      (before.loggedUntil === Infinity && period.until < Infinity);
    const loggedUntil = isNews ? period.until : before.loggedUntil;
    this.#cold.set(target, { ...period, loggedUntil });
    if (!isNews) return;
    const left = period.until - clock.readMonotonic();
    const group = this.#options.findTurnGroup();
    log.info(LogEvent.TargetCold, {
      target,
      service,
      reason: period.reason,
      for_ms: left === Infinity ? undefined : Math.round(left),
      per_second: (MILLIS_PER_SECOND / turns!.interval).toFixed(2),
      vms: group === undefined ? undefined : group.others.length + 1,
    });
    this.#recordCount();
  }

  /** Looks for ends as long as targets are cold. */
  #startTimer(): NodeJS.Timeout {
    return setInterval(() => {
      this.expire();
      if (this.#cold.size > 0) return;
      clearInterval(this.#timer);
      this.#timer = undefined;
    }, END_CHECK_INTERVAL).unref();
  }

  #recordCount(): void {
    this.#context.metrics.coldTargets.set(this.#cold.size);
  }
}

/** Dependencies of {@link ColdTargets}. */
export interface ColdTargetsOptions {
  /** The state whose targets are marked. */
  readonly state: RoutingState;
  /** Returns the VMs that divide turns; undefined if not known yet. */
  readonly findTurnGroup: () => TurnGroup | undefined;
  /** Returns the time in the store's latest answer, and when that arrived. */
  readonly readStoreAnswer: () =>
    | { readonly time: StoreTime; readonly receivedAt: number }
    | undefined;
}
