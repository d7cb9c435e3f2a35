/**
 * Which targets are likely to hold a prompt prefix in their cache. It is
 * learned from this VM's own dispatches and from cache events, which come late
 * and with gaps, so it is a hint and never a fact.
 */
import { LRUCache } from "lru-cache";
import type { TargetId } from "../core/mod.ts";

/** Digest of a prompt's beginning up to a block boundary. */
export type PrefixDigest = string;

/** A target that was seen to hold a prefix. */
export interface PrefixHolder {
  readonly target: TargetId;
  /** The target's cache epoch when it was seen. */
  readonly epoch: number;
}

const MAX_PREFIXES = 50_000;
const MAX_HOLDERS = 4;

/** A bounded table from prefixes to their holders, newest holder first. */
export class PrefixTable {
  readonly #holders = new LRUCache<PrefixDigest, readonly PrefixHolder[]>({
    max: MAX_PREFIXES,
  });

  /** Number of prefixes known. */
  get size(): number {
    return this.#holders.size;
  }

  /** Returns the holders of a prefix, newest first. */
  list(prefix: PrefixDigest): readonly PrefixHolder[] {
    return this.#holders.get(prefix) ?? [];
  }

  /** Records that a target holds a prefix. */
  add(prefix: PrefixDigest, holder: PrefixHolder): void {
    const others = this.list(prefix)
      .filter((each) => each.target !== holder.target);
    this.#holders.set(prefix, [holder, ...others].slice(0, MAX_HOLDERS));
  }

  /** Records that a target dropped a prefix. */
  remove(prefix: PrefixDigest, target: TargetId): void {
    const rest = this.list(prefix).filter((each) => each.target !== target);
    if (rest.length === 0) this.#holders.delete(prefix);
    else this.#holders.set(prefix, rest);
  }
}
