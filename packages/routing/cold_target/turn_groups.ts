/**
 * Decides which VMs divide the turns at cold targets. VMs learn of a change of
 * their list one after the other, and meanwhile no turn may belong to two of
 * them: a VM that has joined waits until the others know it, and the turns of
 * one that has left stay unused until the others know that.
 */
import {
  computeHash,
  type Millis,
  type MonotonicTime,
  type VmId,
} from "../../core/mod.ts";

/** Hashes of the ids of the VMs among which turns are divided. */
export interface TurnGroup {
  readonly self: number;
  readonly others: readonly number[];
}

/**
 * Time after which all VMs that the store reaches know of a change: as long as a
 * call for changes of the list waits. A VM that restarts forgets the turns that
 * it used, which have lapsed by then.
 */
const CHANGE_KNOWN_AFTER: Millis = 3_000;

/** What one VM knows of the VMs at a time. */
export interface KnownVms {
  /** The other VMs; the same object until they change. */
  readonly peers: readonly { readonly vm: VmId }[];
  /** Since when this VM is in the list; undefined if it is not known to be. */
  readonly listedSince: MonotonicTime | undefined;
  readonly now: MonotonicTime;
}

/** The VMs that divide turns, as one of them knows them. */
export class TurnGroups {
  readonly #self: number;
  #peers: KnownVms["peers"] = [];
  readonly #removedAt = new Map<VmId, MonotonicTime>();
  #group: TurnGroup | undefined;

  constructor(self: VmId) {
    this.#self = computeHash(self);
  }

  /**
   * Returns the VMs that divide turns; undefined while this VM has no turns,
   * since the others may not know it yet.
   */
  read({ peers, listedSince, now }: KnownVms): TurnGroup | undefined {
    if (peers !== this.#peers) this.#applyPeers(peers, now);
    for (const [vm, removedAt] of this.#removedAt) {
      if (now - removedAt < CHANGE_KNOWN_AFTER) continue;
      this.#removedAt.delete(vm);
      this.#group = undefined;
    }
    if (listedSince === undefined || now - listedSince < CHANGE_KNOWN_AFTER) {
      return undefined;
    }
    this.#group ??= {
      self: this.#self,
      others: [...peers.map(({ vm }) => vm), ...this.#removedAt.keys()]
        .map(computeHash),
    };
    return this.#group;
  }

  #applyPeers(peers: KnownVms["peers"], now: MonotonicTime): void {
    const present = new Set(peers.map(({ vm }) => vm));
    for (const { vm } of this.#peers) {
      if (!present.has(vm)) this.#removedAt.set(vm, now);
    }
    for (const vm of present) this.#removedAt.delete(vm);
    this.#peers = peers;
    this.#group = undefined;
  }
}
