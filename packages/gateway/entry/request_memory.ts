/**
 * One account of the memory that requests and their answers hold. Callers and
 * targets may send without end, so that each is bounded, and so are all together.
 * When the account is full, those who hold the most for the longest time without
 * progress give way.
 */
import type { Bytes, MonotonicTime } from "../../core/mod.ts";
import { BlockPool } from "./body_buffer.ts";
import { chooseGivingWay, ORDINARY_BYTES } from "./choose_giving_way.ts";

/** What memory is held for. */
export enum MemoryKind {
  /** An open connection of a caller: its socket, parser and headers. */
  Connection = "connection",
  /** A body that has not arrived in full. */
  Upload = "upload",
  /** A complete body, kept until its request has ended. */
  Body = "body",
  /** The rest of a refused request, which is read and discarded. */
  Discarded = "discarded",
  /** An answer that is delivered as a whole, until it was sent. */
  Answer = "answer",
  /** Events of a stream that are not complete or not sent. */
  Event = "event",
}

/** Maximum size of all answers and events that are held at the same time. */
export const MAX_BUFFERED_BYTES: Bytes = 32 * 1_048_576;

const ALL_KINDS: readonly MemoryKind[] = Object.values(MemoryKind);

const ANSWER_KINDS: readonly MemoryKind[] = [
  MemoryKind.Answer,
  MemoryKind.Event,
];

/** Part of the account that is not given to those who hold much. */
const ORDINARY_SHARE = 1 / 4;

/** Bytes that count as progress; an occasional byte doesn't. */
const MIN_PROGRESS_BYTES: Bytes = 16_384;

/** Who holds memory that can be taken back. */
export interface MemoryOwner {
  /** A number that grows with the bytes that the caller has sent or taken. */
  readProgress(): Bytes;
  /** Gives up, and releases the memory before it returns. */
  giveWay(): void;
}

/** The account of one gateway. */
export class RequestMemory {
  /** Blocks in which bodies are collected. */
  readonly blocks = new BlockPool();
  readonly #readTime: () => MonotonicTime;
  #capacity: Bytes;
  readonly #held = new Map<MemoryKind, Bytes>();
  readonly #owned = new Set<MemoryShare>();
  #total: Bytes = 0;

  constructor(
    input: { readonly capacity: Bytes; readonly readTime: () => MonotonicTime },
  ) {
    this.#capacity = input.capacity;
    this.#readTime = input.readTime;
  }

  /** Changes the capacity; what is held already stays. */
  changeCapacity(capacity: Bytes): void {
    this.#capacity = capacity;
  }

  /** Bytes that are held, by kind. */
  get heldByKind(): ReadonlyMap<MemoryKind, Bytes> {
    return this.#held;
  }

  /** Opens a share that holds nothing yet; without an owner it is never taken. */
  open(kind: MemoryKind, owner?: MemoryOwner): MemoryShare {
    return new MemoryShare(this, { kind, owner, now: this.#readTime() });
  }

  /** Records who of those that hold much has made progress. */
  observe(): void {
    const now = this.#readTime();
    for (const share of this.#owned) share.observe(now);
  }

  /** Whether a share may grow; others may have to give way. Used by shares. */
  admit(share: MemoryShare, bytes: Bytes): boolean {
    const growth = bytes - share.bytes;
    const limit = bytes > ORDINARY_BYTES
      ? this.#capacity * (1 - ORDINARY_SHARE)
      : this.#capacity;
    const hasPlace = this.#makePlace(share, {
      kinds: ALL_KINDS,
      computeExcess: () => this.#total + growth - limit,
    });
    if (!hasPlace || !ANSWER_KINDS.includes(share.kind)) return hasPlace;
    return this.#makePlace(share, {
      kinds: ANSWER_KINDS,
      computeExcess: () =>
        this.#sum(ANSWER_KINDS) + growth - MAX_BUFFERED_BYTES,
    });
  }

  /** Lets others give way; returns whether a share may grow then. */
  #makePlace(
    share: MemoryShare,
    input: {
      readonly kinds: readonly MemoryKind[];
      readonly computeExcess: () => Bytes;
    },
  ): boolean {
    const { kinds, computeExcess } = input;
    if (computeExcess() <= 0) return true;
    const owned = [...this.#owned].filter(({ kind }) => kinds.includes(kind));
    const chosen = chooseGivingWay(owned, {
      bytes: computeExcess(),
      now: this.#readTime(),
    });
    for (const each of chosen) each.owner?.giveWay();
    return !chosen.includes(share) && computeExcess() <= 0;
  }

  /** Changes what is counted. Used by shares. */
  record(share: MemoryShare, change: Bytes): void {
    this.#total += change;
    this.#held.set(share.kind, this.#sum([share.kind]) + change);
    if (share.owner === undefined) return;
    if (share.bytes > 0) this.#owned.add(share);
    else this.#owned.delete(share);
  }

  #sum(kinds: readonly MemoryKind[]): Bytes {
    return kinds.reduce((sum, kind) => sum + (this.#held.get(kind) ?? 0), 0);
  }
}

/** What one body, answer or connection holds. */
export class MemoryShare {
  readonly kind: MemoryKind;
  readonly owner: MemoryOwner | undefined;
  readonly #memory: RequestMemory;
  #bytes: Bytes = 0;
  #progressAt: MonotonicTime;
  #seenProgress: Bytes = 0;

  constructor(
    memory: RequestMemory,
    input: {
      readonly kind: MemoryKind;
      readonly owner: MemoryOwner | undefined;
      readonly now: MonotonicTime;
    },
  ) {
    this.#memory = memory;
    this.kind = input.kind;
    this.owner = input.owner;
    this.#progressAt = input.now;
  }

  get bytes(): Bytes {
    return this.#bytes;
  }

  /** Time of the newest progress of its owner. */
  get progressAt(): MonotonicTime {
    return this.#progressAt;
  }

  /**
   * Changes what is held; returns false, with no change, if it can't grow. The
   * owner may have given way then.
   */
  resize(bytes: Bytes): boolean {
    if (bytes === this.#bytes) return true;
    if (bytes > this.#bytes && !this.#memory.admit(this, bytes)) return false;
    this.hold(bytes);
    return true;
  }

  /** Changes what is held, whether or not there is memory left. */
  hold(bytes: Bytes): void {
    const change = bytes - this.#bytes;
    this.#bytes = bytes;
    this.#memory.record(this, change);
  }

  /** Returns all of it. */
  release(): void {
    this.hold(0);
  }

  /** Records whether the owner has made progress. */
  observe(now: MonotonicTime): void {
    const progress = this.owner?.readProgress() ?? 0;
    if (progress - this.#seenProgress < MIN_PROGRESS_BYTES) return;
    this.#seenProgress = progress;
    this.#progressAt = now;
  }
}
