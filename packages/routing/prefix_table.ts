/**
 * Records which targets probably have a prompt prefix in their cache. The table
 * is filled from this VM's own attempts and from cache events, which arrive late
 * and with gaps, so an entry is only a hint.
 */
import { LRUCache } from "lru-cache";
import type { TargetId } from "../core/mod.ts";

/** Digest of a prompt prefix that ends at a block boundary. */
export type PrefixDigest = string;

/** A target that was recorded to have a prefix in its cache. */
export interface PrefixHolder {
  readonly target: TargetId;
  /**
   * The target's cache epoch when this was recorded; an entry of an older epoch
   * is invalid.
   */
  readonly epoch: number;
}

/** Maximum number of prefixes; the least recently used is evicted. */
const MAX_PREFIXES = 50_000;

/** Maximum number of holders recorded for one prefix. */
const MAX_HOLDERS = 4;

/** A bounded LRU table from prefixes to their holders. */
export class PrefixTable {
  readonly #holders = new LRUCache<PrefixDigest, readonly PrefixHolder[]>({
    max: MAX_PREFIXES,
  });

  /** Number of prefixes in the table. */
  get size(): number {
    return this.#holders.size;
  }

  /** Returns the holders of a prefix, the most recently recorded first. */
  list(prefix: PrefixDigest): readonly PrefixHolder[] {
    return this.#holders.get(prefix) ?? [];
  }

  /** Records that a target has a prefix in its cache. */
  add(prefix: PrefixDigest, holder: PrefixHolder): void {
    const others = this.list(prefix)
      .filter((each) => each.target !== holder.target);
    this.#holders.set(prefix, [holder, ...others].slice(0, MAX_HOLDERS));
  }

  /** Records that a target evicted a prefix from its cache. */
  remove(prefix: PrefixDigest, target: TargetId): void {
    const rest = this.list(prefix).filter((each) => each.target !== target);
    if (rest.length === 0) this.#holders.delete(prefix);
    else this.#holders.set(prefix, rest);
  }
}
