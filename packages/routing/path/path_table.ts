/**
 * Decides over which path a VM connects to each target: its own, or a peer that
 * relays the connection.
 *
 * It serves a VM that has lost its paths to targets which its peers still reach,
 * to all of them, those of one service or some. A target over a peer is used at
 * once as long as the own path is lost, so that only the first request waits for
 * the loss to show. Lost paths are probed in turn, and all as soon as one is back.
 */
import type { Millis, MonotonicTime, TargetId } from "../../core/mod.ts";

/** Over which path a connection is started first. */
export enum TargetPath {
  /** From this VM to the target. */
  Direct = "direct",
  /** Over a peer. */
  Relayed = "relayed",
}

/** How to connect to a target now. */
export interface PathPlan {
  readonly first: TargetPath;
  /**
   * Time after which a connection over a peer starts if a direct one is not
   * established; undefined if no peer is asked.
   */
  readonly relayDelay?: Millis;
}

/**
 * Time for which a direct connection is awaited alone, and after which it shows a
 * lost path: some round trips between regions.
 */
export const RELAY_DELAY: Millis = 250;

/** Time for which no peer is asked for a target that none has reached. */
const UNREACHED_PERIOD: Millis = 2_000;

/** Number of lost paths, without one that works, from which all are suspected. */
const MIN_LOST_PATHS = 2;

/** What one VM knows of its paths to targets. */
export class PathTable {
  /** When each lost path was found to be lost, those probed last at the end. */
  readonly #lost = new Map<TargetId, MonotonicTime>();
  readonly #unreachedUntil = new Map<TargetId, MonotonicTime>();
  /** When a direct connection was last established. */
  #directAt: MonotonicTime = -Infinity;

  /** Number of targets to which the own path is lost. */
  get lostPaths(): number {
    return this.#lost.size;
  }

  /**
   * Whether all paths of this VM are suspected to be lost: several are, and
   * none has worked since.
   */
  get isSuspect(): boolean {
    if (this.#lost.size < MIN_LOST_PATHS) return false;
    const firstLostAt = Math.min(...this.#lost.values());
    return this.#directAt < firstLostAt;
  }

  /** Whether the own path to a target is lost. */
  isLost(target: TargetId): boolean {
    return this.#lost.has(target);
  }

  /** Returns how to connect to a target. */
  plan(target: TargetId, now: MonotonicTime): PathPlan {
    if (this.#lost.has(target)) {
      return { first: TargetPath.Relayed, relayDelay: 0 };
    }
    if (now < (this.#unreachedUntil.get(target) ?? -Infinity)) {
      return { first: TargetPath.Direct };
    }
    const relayDelay = this.isSuspect ? 0 : RELAY_DELAY;
    return { first: TargetPath.Direct, relayDelay };
  }

  /** Returns the lost path to probe next, each in its turn. */
  takeProbe(): TargetId | undefined {
    const [next] = this.#lost;
    if (next === undefined) return undefined;
    const [target, since] = next;
    this.#lost.delete(target);
    this.#lost.set(target, since);
    return target;
  }

  /** Returns the targets to which the own path is lost. */
  listLost(): TargetId[] {
    return [...this.#lost.keys()];
  }

  /**
   * Records that a direct connection was established; returns for how long the
   * path was lost, if it was.
   */
  recordDirect(target: TargetId, now: MonotonicTime): Millis | undefined {
    this.#directAt = now;
    this.#unreachedUntil.delete(target);
    const lost = this.#lost.get(target);
    this.#lost.delete(target);
    return lost === undefined ? undefined : now - lost;
  }

  /**
   * Records that a peer has reached a target which this VM did not; returns
   * whether this is new.
   */
  recordRelayed(target: TargetId, now: MonotonicTime): boolean {
    this.#unreachedUntil.delete(target);
    if (this.#lost.has(target)) return false;
    this.#lost.set(target, now);
    return true;
  }

  /** Records that neither this VM nor a peer has reached a target. */
  recordUnreached(target: TargetId, now: MonotonicTime): void {
    this.#unreachedUntil.set(target, now + UNREACHED_PERIOD);
  }

  /** Forgets a target that is gone. */
  remove(target: TargetId): void {
    this.#lost.delete(target);
    this.#unreachedUntil.delete(target);
  }
}
