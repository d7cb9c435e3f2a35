/**
 * Writes this VM's presence row at intervals and measures the time since the
 * last write was sent. Standby tokens are unlocked as that time grows, so the
 * last presence update of an incarnation proves which tokens it can't have
 * used.
 */
import {
  type Millis,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type PlatformError,
  type Row,
  type Undo,
} from "../../../core/mod.ts";
import {
  createPresenceWrite,
  type EarlierIncarnation,
  findEarlierIncarnation,
  formatPresenceKey,
  parsePresence,
} from "../../../budget/mod.ts";
import type { TransactionAnswer } from "../../../ports/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";
import { readStoreTime } from "../read_store_time.ts";

/**
 * Minimum interval between two presence updates. The end of an incarnation is
 * known only to within this interval.
 */
const MIN_INTERVAL: Millis = 600;

/** Interval of the check whether a presence update is due and may be sent. */
const CHECK_INTERVAL: Millis = 200;

/** Fraction of the store's write rate that all presence updates may use. */
const PRESENCE_SHARE = 0.25;

/**
 * Returns the interval between two presence updates of one VM at which all VMs
 * together stay within their share of the store's write rate.
 */
export function computePresenceInterval(
  input: { readonly vms: number; readonly writesPerSecond: number },
): Millis {
  const perVm = input.writesPerSecond * PRESENCE_SHARE / input.vms;
  return Math.max(MIN_INTERVAL, MILLIS_PER_SECOND / perVm);
}

/** What presence updates need to know about standby tokens. */
export interface PresenceOptions {
  /** Returns the ids of grants in use that their rows still have on standby. */
  listInUse(): readonly string[];
  /** Called with the ids in an update once the store has confirmed it. */
  onConfirmed(inUse: readonly string[]): void;
  /** Returns the interval between two presence updates. */
  computeInterval(): Millis;
}

/** Keeps this VM's presence row up to date. */
export class PresenceWriter {
  readonly #context: GatewayContext;
  readonly #options: PresenceOptions;
  readonly #earlier: Promise<EarlierIncarnation | undefined>;
  #resolveEarlier: (earlier: EarlierIncarnation | undefined) => void = () => {};
  #hasReadRow = false;
  /** Version of the row; undefined if it must be read before the next write. */
  #version: number | undefined;
  #lastSent: MonotonicTime | undefined;

  constructor(context: GatewayContext, options: PresenceOptions) {
    this.#context = context;
    this.#options = options;
    this.#earlier = new Promise((resolve) => (this.#resolveEarlier = resolve));
  }

  /** Starts the periodic presence updates. */
  register(): Undo {
    const { random, log } = this.#context;
    return startPeriodic({
      interval: CHECK_INTERVAL,
      random,
      run: () => this.#writeIfDue(),
      reportError: createErrorReporter(log, "presence"),
    }).stop;
  }

  #isDue(): boolean {
    if (this.#lastSent === undefined) return true;
    // Writes at the check that is nearest to the due time.
    return this.computePresenceAge() >=
      this.#options.computeInterval() - CHECK_INTERVAL / 2;
  }

  /**
   * Resolves after the first read of the presence row to the evidence about
   * the incarnation before this one, or to undefined if there is none.
   */
  findEarlierIncarnation(): Promise<EarlierIncarnation | undefined> {
    return this.#earlier;
  }

  /** Returns the time since the last presence update was sent; 0 before it. */
  computePresenceAge(): Millis {
    if (this.#lastSent === undefined) return 0;
    return this.#context.clock.readMonotonic() - this.#lastSent;
  }

  async #writeIfDue(): Promise<void> {
    if (!this.#isDue()) return;
    // The row's version is read at the start, and again after a write that
    // conflicted or whose outcome is unknown. A read changes nothing, so it may
    // be repeated.
    if (this.#version === undefined && !await this.#readRow()) return;
    await this.#writePresence();
  }

  async #readRow(): Promise<boolean> {
    const { dialect, vm } = this.#context;
    const answer = await dialect.table.read([formatPresenceKey(vm)]);
    if (answer.isLeft()) return false;
    const [row] = answer.extract() as readonly Row[];
    this.#version = row?.version ?? 0;
    if (!this.#hasReadRow) {
      this.#hasReadRow = true;
      this.#resolveEarlier(this.#assessEarlierIncarnation(row));
    }
    return true;
  }

  #assessEarlierIncarnation(
    row: Row | undefined,
  ): EarlierIncarnation | undefined {
    const presence = row === undefined ? undefined : parsePresence(row.value);
    const reading = this.#context.dialect.table.readTime?.();
    if (presence === undefined || reading === undefined) return undefined;
    // The monotonic clock reads 0 at the start of the process.
    const startedBy = reading.time - reading.sentAt;
    const address = this.#context.settings.callers;
    const earlier = findEarlierIncarnation({ presence, address, startedBy });
    this.#context.log.info(LogEvent.LifeJudged, {
      life: presence.incarnation,
      silent_ms: Math.round(startedBy - presence.presentAt),
      open_part: earlier?.unlockedFraction.toFixed(3),
    });
    return earlier;
  }

  async #writePresence(): Promise<void> {
    const { dialect, vm, incarnation, clock, settings } = this.#context;
    const presentAt = readStoreTime(this.#context);
    if (presentAt === undefined || this.#version === undefined) return;
    const key = formatPresenceKey(vm);
    const address = settings.callers;
    const inUse = [...this.#options.listInUse()];
    this.#lastSent = clock.readMonotonic();
    const answer = await dialect.table.transact({
      checks: [{ key, version: this.#version }],
      writes: [createPresenceWrite(vm, {
        incarnation,
        address,
        presentAt,
        inUse,
      })],
    });
    this.#version = answer.caseOf<number | undefined>({
      Left: (_error: PlatformError) => undefined,
      Right: findVersion,
    });
    if (this.#version !== undefined) this.#options.onConfirmed(inUse);
  }
}

/** Returns the new version, or undefined when the row must be read again. */
function findVersion(answer: TransactionAnswer): number | undefined {
  return answer.committed ? answer.version : undefined;
}
