/**
 * Reads the evacuations from the store and applies them to the targets. Nothing
 * is read unless the settings give the time within which an evacuation has to be
 * in effect.
 */
import {
  combineUndo,
  type DataCentreId,
  type Millis,
  type MonotonicTime,
  type PlatformError,
  type Undo,
} from "../../../core/mod.ts";
import {
  type BackgroundProcess,
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../../runtime/mod.ts";
import type { ListedEvacuations } from "../../dialect.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import {
  recordAnswer,
  type StoreContact,
} from "../configuration/decide_configuration_use.ts";
import { SuspensionWatch } from "../suspension_watch.ts";
import type { TargetRegistry } from "../target_registry.ts";
import {
  applyReading,
  type KnownEvacuations,
  NO_EVACUATIONS,
} from "./apply_reading.ts";
import {
  computeContactDeadline,
  decideEvacuationUse,
  EvacuationUse,
} from "./decide_evacuation_use.ts";
import { VersionSamples } from "./version_samples.ts";

/**
 * Number of readings within the time in which an evacuation has to be in effect.
 * Calls to the store are priced; a lost one still leaves time for two more.
 */
const READINGS_PER_BOUND = 4;

/** Interval between two checks of the age of the last reading. */
const AGE_CHECK_INTERVAL: Millis = 250;

/** Follows the evacuations while the settings enable them. */
export class EvacuationFollower {
  readonly #context: GatewayContext;
  readonly #targets: Pick<
    TargetRegistry,
    "applyEvacuations" | "hasDataCentre" | "isLoaded"
  >;
  readonly #suspensions: SuspensionWatch;
  readonly #endListeners: ((dataCentre: DataCentreId) => void)[] = [];
  #samples = new VersionSamples();
  #known: KnownEvacuations = NO_EVACUATIONS;
  /** The data centres whose evacuation was logged, or that it is of no use. */
  readonly #logged = new Set<DataCentreId>();
  readonly #unknown = new Set<DataCentreId>();
  readonly #kept = new Set<DataCentreId>();
  #startedAt: MonotonicTime = -Infinity;
  #answeredAt: MonotonicTime = -Infinity;
  #currentUntil: MonotonicTime = -Infinity;
  #failedAt: MonotonicTime = -Infinity;
  #contact: StoreContact | undefined;
  #wasOutdated = false;
  #process: BackgroundProcess | undefined;
  #undo: Undo = () => {};

  constructor(
    context: GatewayContext,
    targets: Pick<
      TargetRegistry,
      "applyEvacuations" | "hasDataCentre" | "isLoaded"
    >,
  ) {
    this.#context = context;
    this.#targets = targets;
    this.#suspensions = new SuspensionWatch(context.clock);
  }

  /** Registers the dump and starts to read, if the settings enable it. */
  register(): Undo {
    this.applySettings();
    return combineUndo([
      this.#context.kernel.registerDump(
        "evacuations",
        () => this.#describe(),
      ),
      () => this.#undo(),
    ]);
  }

  /** Starts or stops to read after the settings have changed. */
  applySettings(): void {
    const isRunning = this.#process !== undefined;
    if (this.#isEnabled === isRunning) return;
    if (this.#isEnabled) this.#start();
    else this.#stop();
  }

  /**
   * Whether nothing may be sent to any target, since an evacuation may be missing
   * that has to be in effect by now.
   */
  get isOutdated(): boolean {
    return this.#isEnabled && this.#decideUse() === EvacuationUse.Outdated;
  }

  /**
   * Adds a function that is called with each data centre whose evacuation ends:
   * its targets get requests again from now on.
   */
  addEvacuationEndListener(
    listener: (dataCentre: DataCentreId) => void,
  ): void {
    this.#endListeners.push(listener);
  }

  get #isEnabled(): boolean {
    return this.#context.settings.evacuationMillis !== undefined;
  }

  get #isRead(): boolean {
    return this.#known !== NO_EVACUATIONS;
  }

  get #bound(): Millis {
    return this.#context.settings.evacuationMillis ?? Infinity;
  }

  #start(): void {
    const { log, random } = this.#context;
    const computeInterval = () => this.#computeInterval();
    this.#process = startPeriodic({
      get interval() {
        return computeInterval();
      },
      random,
      run: () => this.#read(),
      reportError: createErrorReporter(log, "read the evacuations"),
    });
    const check = startPeriodic({
      interval: AGE_CHECK_INTERVAL,
      random,
      run: () => Promise.resolve(this.#checkAge()),
      reportError: createErrorReporter(log, "age of the evacuations"),
    });
    this.#undo = combineUndo([this.#process.stop, check.stop]);
  }

  #stop(): void {
    this.#undo();
    this.#process = undefined;
    this.#samples = new VersionSamples();
    this.#answeredAt = this.#currentUntil = this.#failedAt = -Infinity;
    this.#change(NO_EVACUATIONS);
  }

  /** Returns the time to the next reading, from the start of the last one. */
  #computeInterval(): Millis {
    const elapsed = this.#context.clock.readMonotonic() - this.#startedAt;
    return Math.max(0, this.#bound / READINGS_PER_BOUND - elapsed);
  }

  async #read(): Promise<void> {
    const { clock, dialect } = this.#context;
    const startedAt = clock.readMonotonic();
    this.#startedAt = startedAt;
    const answer = await dialect.evacuations.load();
    if (this.#process === undefined) return;
    answer.caseOf({
      Left: (error) => this.#recordFailure(error),
      Right: (reading) => this.#applyReading(reading, startedAt),
    });
  }

  #applyReading(reading: ListedEvacuations, startedAt: MonotonicTime): void {
    const now = this.#context.clock.readMonotonic();
    this.#recordSuccess(now);
    this.#answeredAt = startedAt;
    // There is nothing to compare the first reading with.
    const knownVersion = this.#isRead ? reading.knownVersion : -Infinity;
    this.#samples.record(startedAt, knownVersion);
    const after = applyReading(this.#known, { ...reading, now });
    if (after === this.#known) return;
    const until = this.#samples.findCurrentUntil(reading.version);
    this.#currentUntil = Math.max(this.#currentUntil, until);
    this.#change(after);
    this.#logKept(reading);
  }

  /** Puts evacuations in effect, and tells which have begun and ended. */
  #change(after: KnownEvacuations): void {
    const before = this.#known;
    this.#known = after;
    const ended = [...before.eras.keys()]
      .filter((each) => !after.eras.has(each));
    const hasBegun = [...after.eras.keys()]
      .some((each) => !before.eras.has(each));
    if (hasBegun || ended.length > 0) {
      this.#targets.applyEvacuations(new Set(after.eras.keys()));
    }
    for (const dataCentre of after.eras.keys()) this.#logBegun(dataCentre);
    for (const dataCentre of ended) {
      this.#logEnded(dataCentre);
      for (const listener of this.#endListeners) listener(dataCentre);
    }
    this.#context.metrics.evacuatedDataCentres.set(this.#logged.size);
  }

  #logBegun(dataCentre: DataCentreId): void {
    const { log } = this.#context;
    if (this.#logged.has(dataCentre)) return;
    if (this.#targets.hasDataCentre(dataCentre)) {
      this.#logged.add(dataCentre);
      log.warn(LogEvent.EvacuationStarted, {
        data_centre: dataCentre,
        version: this.#known.version,
      });
    } else if (this.#targets.isLoaded && !this.#unknown.has(dataCentre)) {
      this.#unknown.add(dataCentre);
      log.error(LogEvent.EvacuationUnknown, {
        data_centre: dataCentre,
        remedy: "remove the row, and write one with the name of a data centre",
      });
    }
  }

  #logEnded(dataCentre: DataCentreId): void {
    this.#unknown.delete(dataCentre);
    this.#kept.delete(dataCentre);
    if (!this.#logged.delete(dataCentre)) return;
    this.#context.log.warn(LogEvent.EvacuationEnded, {
      data_centre: dataCentre,
      version: this.#known.version,
    });
  }

  /** Logs evacuations that a restored store doesn't list and that go on. */
  #logKept({ dataCentres }: ListedEvacuations): void {
    for (const dataCentre of this.#known.eras.keys()) {
      if (dataCentres.includes(dataCentre)) {
        this.#kept.delete(dataCentre);
      } else if (!this.#kept.has(dataCentre)) {
        this.#kept.add(dataCentre);
        this.#context.log.warn(LogEvent.EvacuationKept, {
          data_centre: dataCentre,
          version: this.#known.version,
        });
      }
    }
  }

  #recordFailure(error: PlatformError): void {
    const isFirst = this.#failedAt <= this.#answeredAt;
    this.#failedAt = this.#context.clock.readMonotonic();
    if (!isFirst) return;
    this.#context.log.warn(LogEvent.DependencyLost, {
      dependency: "evacuations",
      reason: error.message,
      version: this.#known.version,
    });
  }

  #recordSuccess(now: MonotonicTime): void {
    if (this.#failedAt <= this.#answeredAt) return;
    this.#context.log.info(LogEvent.DependencyBack, {
      dependency: "evacuations",
      away_ms: Math.round(now - this.#answeredAt),
    });
  }

  #checkAge(): void {
    const answeredAt = this.#context.dialect.table.readTime?.()?.receivedAt;
    if (answeredAt !== undefined) {
      const deadline = computeContactDeadline(this.#bound);
      this.#contact = recordAnswer(this.#contact, { answeredAt, deadline });
    }
    // A reading from before a suspension may be as old as that was long.
    if (!this.#suspensions.isAwakeSince(this.#startedAt)) this.#process?.wake();
    this.#logOutdated();
  }

  #logOutdated(): void {
    const wasOutdated = this.#wasOutdated;
    this.#wasOutdated = this.#isRead && this.isOutdated;
    if (wasOutdated || !this.#wasOutdated) return;
    this.#context.log.error(LogEvent.EvacuationsOutdated, {
      version: this.#known.version,
      age_ms: this.#computeAge(),
    });
  }

  #decideUse(): EvacuationUse {
    const isAwakeSince = (time: MonotonicTime) =>
      this.#suspensions.isAwakeSince(time) ? time : -Infinity;
    return decideEvacuationUse({
      now: this.#context.clock.readMonotonic(),
      bound: this.#bound,
      isRead: this.#isRead,
      currentUntil: isAwakeSince(this.#currentUntil),
      answeredAt: isAwakeSince(this.#answeredAt),
      failedAt: isAwakeSince(this.#failedAt),
      contact: this.#contact,
    });
  }

  #computeAge(): Millis {
    return Math.round(
      this.#context.clock.readMonotonic() - this.#currentUntil,
    );
  }

  #describe(): unknown {
    if (!this.#isEnabled) return undefined;
    return {
      dataCentres: [...this.#known.eras.keys()],
      version: this.#known.version,
      age: this.#computeAge(),
      use: this.#decideUse(),
    };
  }
}
