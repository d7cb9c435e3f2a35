/**
 * Keeps the current configuration, which is never replaced by an older one. It
 * comes from the store or from another VM.
 */
import {
  type Bytes,
  combineUndo,
  type CommandType,
  createCommand,
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  readEra,
  type ServiceId,
  type SliceType,
  type Undo,
  type VmId,
} from "../../../core/mod.ts";
import { type GatewayConfiguration, RouteIndex } from "../../../routes/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  type LogFields,
  startPeriodic,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { FeedFollower, type RowChange } from "../feed_follower.ts";
import type { PeerAccess } from "../peers/peer_access.ts";
import { SuspensionWatch } from "../suspension_watch.ts";
import {
  ConfigurationUse,
  decideConfigurationUse,
  recordAnswer,
  type StoreContact,
} from "./decide_configuration_use.ts";
import type {
  ConfigurationPage,
  ConfigurationRow,
  ConfigurationValue,
  PageSource,
} from "./configuration_page.ts";
import { ConfigurationPeers } from "./configuration_peers.ts";
import { RestoreComparison } from "./restore_comparison.ts";

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

/** The same where other VMs follow this one, so that theirs is younger. */
const SHARED_WAITS_PER_DEADLINE = 4;

/**
 * Fraction of the deadline after which an interrupted feed reads the newest of
 * large versions alone. All that were written since may take longer to arrive
 * than the deadline.
 */
const MAX_RESUME_SHARE = 0.5;

/** Maximum size of a version of which several are read after an interruption. */
const MAX_RESUME_BYTES: Bytes = 65_536;

/** Pause between two calls, which batches a burst of versions. */
const FEED_PAUSE: Millis = 60;

/** Interval between two checks whether the configuration is stale. */
const AGE_CHECK_INTERVAL: Millis = 250;

/** Follows the configuration feed and applies each new version. */
export class ConfigurationFollower {
  readonly #context: GatewayContext;
  readonly #follower: FeedFollower<ConfigurationValue>;
  readonly #peers: ConfigurationPeers;
  readonly #comparison: RestoreComparison;
  readonly #suspensions: SuspensionWatch;
  readonly #listeners: ((configuration: GatewayConfiguration) => void)[] = [];
  /** Row of the configuration in effect. */
  #row: ConfigurationRow | undefined;
  /** The VM whose answer is being applied; undefined for the store. */
  #applyingFrom: VmId | undefined;
  /** Whether the newest version of that row could not be decoded. */
  #isDamaged = false;
  /** When the configuration became stale; undefined while it is current. */
  #staleSince: MonotonicTime | undefined;
  #contact: StoreContact | undefined;
  #startedAt: MonotonicTime = Infinity;
  /** Whether the configuration was outdated at the last check. */
  #isOutdated = false;

  constructor(context: GatewayContext, peers: PeerAccess) {
    this.#context = context;
    this.#suspensions = new SuspensionWatch(context.clock);
    const exchange = new ConfigurationPeers(context, {
      peers,
      access: {
        readPage: () => this.#readPage(),
        readNewest: () => this.#readNewest(),
        applyPage: (page, source) => this.#applyPage(page, source),
      },
    });
    this.#peers = exchange;
    this.#comparison = new RestoreComparison(context, {
      readVersion: () => this.#follower.highestVersion,
      compare: () => exchange.compare(),
    });
    this.#follower = new FeedFollower(context, {
      name: "configuration",
      feed: context.dialect.configurations,
      get wait() {
        return context.settings.configurationMillis /
          (exchange.isShared ? SHARED_WAITS_PER_DEADLINE : WAITS_PER_DEADLINE);
      },
      pause: FEED_PAUSE,
      mayResume: (age) => this.#mayResume(age),
      apply: (changes) => this.#apply(changes),
      isNeeded: () => exchange.isStoreNeeded,
    });
  }

  /** Answers a VM that follows the configuration of this one. */
  get peers(): Pick<ConfigurationPeers, "answers" | "takeTraffic"> {
    return this.#peers;
  }

  /** Registers the command and the dump, and starts to follow the feed. */
  register(): Undo {
    const { clock, kernel, log, random } = this.#context;
    this.#startedAt = clock.readMonotonic();
    return combineUndo([
      kernel.registerCommand(APPLY_CONFIGURATION, (configuration, update) => {
        const known = update.read(ROUTES)?.configuration.version ?? -Infinity;
        if (configuration.version <= known) return false;
        update.write(ROUTES, new RouteIndex(configuration));
        return true;
      }),
      kernel.registerDump("configuration", () => this.#describe()),
      this.#follower.register(),
      this.#peers.register(),
      this.#comparison.register(),
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
    return this.#decideUse() !== ConfigurationUse.Current;
  }

  /** Whether requests have to be left to VMs with a newer configuration. */
  get isOutdated(): boolean {
    return this.#decideUse() === ConfigurationUse.Outdated;
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

  #mayResume(age: Millis): boolean {
    const { configurationMillis: deadline } = this.#context.settings;
    const bytes = this.#row?.value.text.length ?? 0;
    return bytes <= MAX_RESUME_BYTES || age <= MAX_RESUME_SHARE * deadline;
  }

  #readPage(): ConfigurationPage {
    const { highestVersion, currentUntil, confirmedBy } = this.#follower;
    const isReadable = this.#row !== undefined && !this.#isDamaged;
    // The time of a suspension is missing in the age that others are told.
    const isMeasured = this.#suspensions.isAwakeSince(confirmedBy);
    return {
      version: highestVersion,
      currentUntil: isReadable && isMeasured ? currentUntil : undefined,
      row: this.#row,
    };
  }

  #readNewest(): number | undefined {
    if (this.#isDamaged) return undefined;
    return this.#row?.value.configuration.version ?? -1;
  }

  #applyPage(
    { version, currentUntil, row }: ConfigurationPage,
    { peer, sentAt }: PageSource,
  ): void {
    const rows = row === undefined ? [] : [row];
    this.#applyingFrom = peer;
    if (row !== undefined && this.#isLostInRestore(row)) {
      this.#context.log.warn(LogEvent.ConfigurationBehind, {
        version: this.read()?.configuration.version,
        newest: row.value.configuration.version,
        peer,
      });
      this.#apply(rows);
    }
    const confirmation = { until: currentUntil, sentAt };
    this.#follower.applyPage({ version, rows }, confirmation);
    this.#applyingFrom = undefined;
  }

  /** Whether a row is newer than what the store has since its restore. */
  #isLostInRestore({ version, value }: ConfigurationRow): boolean {
    const newest = this.#readNewest() ?? Infinity;
    return readEra(version) < readEra(this.#follower.highestVersion) &&
      value.configuration.version > newest;
  }

  #apply(changes: readonly RowChange<ConfigurationValue>[]): void {
    for (const { key, version, value, fault } of changes) {
      if (key === this.#row?.key) this.#isDamaged = fault !== undefined;
      // If the row was removed or is damaged, the last configuration stays.
      if (value === undefined) continue;
      const { configuration } = value;
      const before = this.read()?.configuration;
      const { kernel, log, metrics } = this.#context;
      // A restored store may have an older one until it is written again.
      if (before !== undefined && configuration.version < before.version) {
        log.warn(LogEvent.ConfigurationBehind, {
          version: configuration.version,
          newest: before.version,
        });
        continue;
      }
      this.#row = { key, version, value };
      this.#peers.recordRow(this.#row);
      if (!kernel.dispatch(APPLY_CONFIGURATION, configuration)) continue;
      metrics.configurationVersion.set(configuration.version);
      log.info(LogEvent.ConfigurationApplied, {
        version: configuration.version,
        before: before?.version,
        routes: configuration.routes.length,
        services: configuration.services.size,
        customers: configuration.customers.length,
        peer: this.#applyingFrom,
      });
      this.#logRevokedKeys(before, configuration);
      for (const listener of this.#listeners) listener(configuration);
    }
    this.#peers.answers.notifyWaiters();
    this.#comparison.check();
  }

  /** Whether another VM has said that it uses a newer configuration. */
  get #isNewerKnown(): boolean {
    const { newestKnown = -Infinity } = this.#peers;
    return newestKnown > (this.#row?.value.configuration.version ?? -1);
  }

  #decideUse(): ConfigurationUse {
    const { clock, settings } = this.#context;
    return decideConfigurationUse({
      now: clock.readMonotonic(),
      currentUntil: this.#follower.currentUntil ?? -Infinity,
      deadline: settings.configurationMillis,
      contact: this.#contact,
      isNewerKnown: this.#isNewerKnown,
      isDamaged: this.#isDamaged,
      restore: this.#comparison.state,
    });
  }

  #checkContact(): void {
    const { dialect, settings } = this.#context;
    const answeredAt = dialect.table.readTime?.()?.receivedAt;
    if (answeredAt === undefined) return;
    const { configurationMillis: deadline } = settings;
    this.#contact = recordAnswer(this.#contact, { answeredAt, deadline });
  }

  #logOutdated(): void {
    const wasOutdated = this.#isOutdated;
    this.#isOutdated = this.#decideUse() === ConfigurationUse.Outdated;
    if (wasOutdated || !this.#isOutdated) return;
    this.#context.log.error(LogEvent.ConfigurationOutdated, {
      version: this.read()?.configuration.version,
      age_ms: Math.round(this.computeAge()),
      ...this.#describeEvidence(),
    });
  }

  /** Returns what decides whether requests are run by a late configuration. */
  #describeEvidence(): LogFields {
    const now = this.#context.clock.readMonotonic();
    const newest = this.#peers.newestKnown;
    if (this.#contact === undefined) return { newest };
    return {
      contact_ms: Math.round(now - this.#contact.since),
      store_answer_ms: Math.round(now - this.#contact.until),
      newest,
    };
  }

  #checkAge(): void {
    // A peer may tell of a new era without a configuration.
    this.#comparison.check();
    this.#checkContact();
    this.#logOutdated();
    const { clock, log, metrics, settings } = this.#context;
    const age = this.computeAge();
    metrics.configurationAge.set(age / MILLIS_PER_SECOND);
    const version = this.read()?.configuration.version;
    if (version === undefined) return;
    const now = clock.readMonotonic();
    // The first configuration is stale until the feed has gone on from it.
    const hasJustStarted = now - this.#startedAt <=
      settings.configurationMillis;
    const isStale = this.isStale && (this.#isDamaged || !hasJustStarted);
    if (isStale && this.#staleSince === undefined) {
      this.#staleSince = now;
      log.warn(LogEvent.ConfigurationStale, {
        version,
        age_ms: Math.round(age),
        damaged: this.#isDamaged,
        ...this.#describeEvidence(),
      });
    } else if (!isStale && this.#staleSince !== undefined) {
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
      heldCalls: this.#peers.answers.heldCalls,
      routes: configuration.routes.length,
      services: [...configuration.services.keys()],
      customers: configuration.customers.map((each) => each.id),
    };
  }
}
