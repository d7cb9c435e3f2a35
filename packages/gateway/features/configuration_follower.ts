/** Keeps the configuration in force, which never goes back to an older one. */
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
import { FeedFollower, type RowChange } from "./follow_feed.ts";

const ROUTES: SliceType<RouteIndex | undefined> = {
  name: "routes",
  createInitial: () => undefined,
};

const APPLY_CONFIGURATION: CommandType<GatewayConfiguration, boolean> =
  createCommand("gateway.apply_configuration");

/** Calls of the feed per deadline, so that a silent one is found in time. */
const WAITS_PER_DEADLINE = 2;

/** Versions that come in a burst are taken together. */
const PACE: Millis = 60;

/** Follows the configuration. */
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
      pace: PACE,
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

  /** Returns the routes in force; undefined before the first configuration. */
  read(): RouteIndex | undefined {
    return this.#context.kernel.read(ROUTES);
  }

  /** Calls a function with each configuration that comes into force. */
  addListener(listener: (configuration: GatewayConfiguration) => void): void {
    this.#listeners.push(listener);
  }

  #apply(changes: readonly RowChange<GatewayConfiguration>[]): void {
    for (const { value } of changes) {
      // A configuration that was removed or damaged leaves the last in force.
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

  /** Names customers only: a key has no place in a log. */
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
