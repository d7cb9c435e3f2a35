/** Keeps the current configuration, which is never replaced by an older one. */
import {
  combineUndo,
  type CommandType,
  createCommand,
  type Millis,
  type SliceType,
  type Undo,
} from "../../core/mod.ts";
import { type GatewayConfiguration, RouteIndex } from "../../routes/mod.ts";
import { LogEvent } from "../../runtime/mod.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { FeedFollower, type RowChange } from "./feed_follower.ts";

const ROUTES: SliceType<RouteIndex | undefined> = {
  name: "routes",
  createInitial: () => undefined,
};

const APPLY_CONFIGURATION: CommandType<GatewayConfiguration, boolean> =
  createCommand("gateway.apply_configuration");

/**
 * Calls of the feed within the time in which a configuration must be applied,
 * so that a dead connection is detected in time.
 */
const WAITS_PER_DEADLINE = 2;

/** Pause between two calls, which batches a burst of versions. */
const FEED_PAUSE: Millis = 60;

/** Follows the configuration feed and applies each new version. */
export class ConfigurationFollower {
  readonly #context: GatewayContext;
  readonly #follower: FeedFollower<GatewayConfiguration>;
  readonly #listeners: ((configuration: GatewayConfiguration) => void)[] = [];

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#follower = new FeedFollower(context, {
      name: "configuration",
      feed: context.dialect.configurations,
      wait: context.settings.configurationMillis / WAITS_PER_DEADLINE,
      pause: FEED_PAUSE,
      apply: (changes) => this.#apply(changes),
    });
  }

  /** Registers the command, the dump and the follower. */
  register(): Undo {
    const { kernel } = this.#context;
    return combineUndo([
      kernel.registerCommand(APPLY_CONFIGURATION, (configuration, update) => {
        const known = update.read(ROUTES)?.configuration.version ?? -Infinity;
        if (configuration.version <= known) return false;
        update.write(ROUTES, new RouteIndex(configuration));
        return true;
      }),
      kernel.registerDump("configuration", () => this.#describe()),
      this.#follower.register(),
    ]);
  }

  /** Returns the current routes; undefined before the first configuration. */
  read(): RouteIndex | undefined {
    return this.#context.kernel.read(ROUTES);
  }

  /** Adds a function that is called with each newly applied configuration. */
  addListener(listener: (configuration: GatewayConfiguration) => void): void {
    this.#listeners.push(listener);
  }

  #apply(changes: readonly RowChange<GatewayConfiguration>[]): void {
    for (const { value } of changes) {
      // If the row was removed or is damaged, the last configuration stays.
      if (value === undefined) continue;
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
      this.#logRevoked(before, value);
      for (const listener of this.#listeners) listener(value);
    }
  }

  /** Logs how many keys each customer lost, but never the keys themselves. */
  #logRevoked(
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
      routes: configuration.routes.length,
      services: [...configuration.services.keys()],
      customers: configuration.customers.map((each) => each.id),
    };
  }
}
