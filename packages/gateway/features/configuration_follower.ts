/** Keeps the current configuration, which is never replaced by an older one. */
import {
  combineUndo,
  type CommandType,
  createCommand,
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type ServiceId,
  type SliceType,
  type Undo,
} from "../../core/mod.ts";
import { type GatewayConfiguration, RouteIndex } from "../../routes/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../runtime/mod.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { FeedFollower, type RowChange } from "./feed_follower.ts";

const ROUTES: SliceType<RouteIndex | undefined> = {
  name: "routes",
  createInitial: () => undefined,
};

const APPLY_CONFIGURATION: CommandType<GatewayConfiguration, boolean> =
  createCommand("gateway.apply_configuration");

/**
 * Number of feed calls that fit into the time within which a configuration must
 * be applied, so that a dead connection is detected in time.
 */
const WAITS_PER_DEADLINE = 2;

/** Pause between two calls, which batches a burst of versions. */
const FEED_PAUSE: Millis = 60;

/** Interval between two checks whether the configuration is stale. */
const AGE_CHECK_INTERVAL: Millis = 250;

/** Follows the configuration feed and applies each new version. */
export class ConfigurationFollower {
  readonly #context: GatewayContext;
  readonly #follower: FeedFollower<GatewayConfiguration>;
  readonly #listeners: ((configuration: GatewayConfiguration) => void)[] = [];
  /** Key of the row of the configuration in effect. */
  #key: string | undefined;
  /** Whether the newest version of that row could not be decoded. */
  #isDamaged = false;
  /** When the configuration became stale; undefined while it is current. */
  #staleSince: MonotonicTime | undefined;

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#follower = new FeedFollower(context, {
      name: "configuration",
      feed: context.dialect.configurations,
      get wait() {
        return context.settings.configurationMillis / WAITS_PER_DEADLINE;
      },
      pause: FEED_PAUSE,
      apply: (changes) => this.#apply(changes),
    });
  }

  /** Registers the command and the dump, and starts to follow the feed. */
  register(): Undo {
    const { kernel, log, random } = this.#context;
    return combineUndo([
      kernel.registerCommand(APPLY_CONFIGURATION, (configuration, update) => {
        const known = update.read(ROUTES)?.configuration.version ?? -Infinity;
        if (configuration.version <= known) return false;
        update.write(ROUTES, new RouteIndex(configuration));
        return true;
      }),
      kernel.registerDump("configuration", () => this.#describe()),
      this.#follower.register(),
      startPeriodic({
        interval: AGE_CHECK_INTERVAL,
        random,
        run: () => Promise.resolve(this.#checkAge()),
        reportError: createErrorReporter(log, "age of the configuration"),
      }).stop,
    ]);
  }

  /**
   * Returns the time since the last moment up to which all versions are known;
   * since the start of the process before the first one.
   */
  computeAge(): Millis {
    const now = this.#context.clock.readMonotonic();
    return now - (this.#follower.currentUntil ?? 0);
  }

  /**
   * Whether a version that must be in use by now may be missing, so that a
   * route or key that is not found may exist.
   */
  get isStale(): boolean {
    const { configurationMillis } = this.#context.settings;
    return this.#isDamaged || this.computeAge() > configurationMillis;
  }

  /** Returns the current routes; undefined before the first configuration. */
  read(): RouteIndex | undefined {
    return this.#context.kernel.read(ROUTES);
  }

  /** Returns the services of the routes whose streams may be resumed. */
  listResumableServices(): ReadonlySet<ServiceId> {
    const routes = this.read()?.configuration.routes ?? [];
    const resumable = routes.filter((route) => route.resumable);
    return new Set(
      resumable.flatMap(({ services }) =>
        services.map(({ service }) => service)
      ),
    );
  }

  /** Adds a function that is called with each newly applied configuration. */
  addListener(listener: (configuration: GatewayConfiguration) => void): void {
    this.#listeners.push(listener);
  }

  #apply(changes: readonly RowChange<GatewayConfiguration>[]): void {
    for (const { key, value, fault } of changes) {
      if (key === this.#key) this.#isDamaged = fault !== undefined;
      // If the row was removed or is damaged, the last configuration stays.
      if (value === undefined) continue;
      this.#key = key;
      const before = this.read()?.configuration;
      const { kernel, log, metrics } = this.#context;
      if (!kernel.dispatch(APPLY_CONFIGURATION, value)) continue;
      metrics.configurationVersion.set(value.version);
      log.info(LogEvent.ConfigurationApplied, {
        version: value.version,
        before: before?.version,
        routes: value.routes.length,
        services: value.services.size,
        customers: value.customers.length,
      });
      this.#logRevokedKeys(before, value);
      for (const listener of this.#listeners) listener(value);
    }
  }

  #checkAge(): void {
    const { clock, log, metrics } = this.#context;
    const age = this.computeAge();
    metrics.configurationAge.set(age / MILLIS_PER_SECOND);
    const version = this.read()?.configuration.version;
    if (version === undefined) return;
    const now = clock.readMonotonic();
    if (this.isStale && this.#staleSince === undefined) {
      this.#staleSince = now;
      log.warn(LogEvent.ConfigurationStale, {
        version,
        age_ms: Math.round(age),
        damaged: this.#isDamaged,
      });
    } else if (!this.isStale && this.#staleSince !== undefined) {
      log.info(LogEvent.ConfigurationCurrent, {
        version,
        stale_ms: Math.round(now - this.#staleSince),
      });
      this.#staleSince = undefined;
    }
  }

  /** Logs how many keys of each customer were removed, but never the keys. */
  #logRevokedKeys(
    before: GatewayConfiguration | undefined,
    after: GatewayConfiguration,
  ): void {
    const kept = new Set(after.customers.flatMap((each) => each.keys));
    for (const { id, keys } of before?.customers ?? []) {
      const dropped = keys.filter((key) => !kept.has(key)).length;
      if (dropped === 0) continue;
      this.#context.log.info(LogEvent.KeyRevoked, {
        customer: id,
        keys: dropped,
        version: after.version,
      });
    }
  }

  #describe(): unknown {
    const configuration = this.read()?.configuration;
    if (configuration === undefined) return undefined;
    return {
      version: configuration.version,
      age: Math.round(this.computeAge()),
      stale: this.isStale,
      routes: configuration.routes.length,
      services: [...configuration.services.keys()],
      customers: configuration.customers.map((each) => each.id),
    };
  }
}
