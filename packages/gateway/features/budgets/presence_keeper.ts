/**
 * Tells the table that this life of the VM is there, and for how long it has
 * told nothing: standby tokens open with that time, so that the table's last
 * word of a life proves what that life can't have used.
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
  type StoreTime,
} from "../../../budget/mod.ts";
import type { TransactionAnswer } from "../../../ports/mod.ts";
import {
  createErrorReporter,
  LogEvent,
  startPeriodic,
} from "../../../runtime/mod.ts";
import type { GatewayContext } from "../../gateway_context.ts";

/** Least pause between two words; a life's end is known that much less closely. */
const LEAST_INTERVAL: Millis = 600;

/** Pause between two looks at whether a word is due, and may be sent. */
const TURN_INTERVAL: Millis = 200;

/** Part of the table's writes that all VMs' words may take. */
const WORDS_SHARE = 0.25;

/** Returns the pause between two words of a VM, so that all keep to their share. */
export function computePresenceInterval(
  input: { readonly vms: number; readonly writesPerSecond: number },
): Millis {
  const perVm = input.writesPerSecond * WORDS_SHARE / input.vms;
  return Math.max(LEAST_INTERVAL, MILLIS_PER_SECOND / perVm);
}

/** What the keeper needs to know of the tokens. */
export interface PresenceOptions {
  /** Returns the standby grants in use whose rows don't say so, by id. */
  listInUse(): readonly string[];
  /** Is told what the table knows to be in use now. */
  onConfirmed(inUse: readonly string[]): void;
  /** Returns the pause between two words. */
  computeInterval(): Millis;
}

/** Keeps this VM's presence row. */
export class PresenceKeeper {
  readonly #context: GatewayContext;
  readonly #options: PresenceOptions;
  readonly #earlier: Promise<EarlierIncarnation | undefined>;
  #resolveEarlier: (life: EarlierIncarnation | undefined) => void = () => {};
  #hasRead = false;
  /** Version of the row; undefined while it isn't known. */
  #version: number | undefined;
  #lastSent: MonotonicTime | undefined;

  constructor(context: GatewayContext, options: PresenceOptions) {
    this.#context = context;
    this.#options = options;
    this.#earlier = new Promise((resolve) => (this.#resolveEarlier = resolve));
  }

  /** Starts to tell. */
  register(): Undo {
    const { random, log } = this.#context;
    return startPeriodic({
      interval: TURN_INTERVAL,
      random,
      run: () => this.#takeTurn(),
      reportError: createErrorReporter(log, "presence"),
    }).stop;
  }

  #isDue(): boolean {
    if (this.#lastSent === undefined) return true;
    // A turn that comes a little early is as good as the next.
    return this.computeSilence() >=
      this.#options.computeInterval() - TURN_INTERVAL / 2;
  }

  /**
   * Resolves with the life before this one, or undefined, once the table has
   * told what that life last said.
   */
  findEarlierLife(): Promise<EarlierIncarnation | undefined> {
    return this.#earlier;
  }

  /** Returns how long nothing was sent. */
  computeSilence(): Millis {
    if (this.#lastSent === undefined) return 0;
    return this.#context.clock.readMonotonic() - this.#lastSent;
  }

  async #takeTurn(): Promise<void> {
    if (!this.#isDue()) return;
    // While an answer is missing only a read may go out: it changes nothing.
    if (this.#version === undefined && !await this.#readRow()) return;
    await this.#confirm();
  }

  async #readRow(): Promise<boolean> {
    const { dialect, vm } = this.#context;
    const answer = await dialect.table.read([formatPresenceKey(vm)]);
    if (answer.isLeft()) return false;
    const [row] = answer.extract() as readonly Row[];
    this.#version = row?.version ?? 0;
    if (!this.#hasRead) {
      this.#hasRead = true;
      this.#resolveEarlier(this.#judgeEarlier(row));
    }
    return true;
  }

  #judgeEarlier(row: Row | undefined): EarlierIncarnation | undefined {
    const presence = row === undefined ? undefined : parsePresence(row.value);
    const reading = this.#context.dialect.table.readTime?.();
    if (presence === undefined || reading === undefined) return undefined;
    // The process's monotonic clock began with it.
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

  async #confirm(): Promise<void> {
    const { dialect, vm, incarnation, clock, settings } = this.#context;
    const presentAt = this.#computePresentAt();
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

  /** Returns a time of the table's clock that has certainly come. */
  #computePresentAt(): StoreTime | undefined {
    const reading = this.#context.dialect.table.readTime?.();
    if (reading === undefined) return undefined;
    const since = this.#context.clock.readMonotonic() - reading.receivedAt;
    return reading.time + Math.max(0, since);
  }
}

/** The new version, or undefined when the row must be read again. */
function findVersion(answer: TransactionAnswer): number | undefined {
  return answer.committed ? answer.version : undefined;
}
