/**
 * A persistent (immutable) map with string keys. A changed copy shares all but
 * a few nodes with the original, so changing one of 80,000 entries costs little
 * more than changing one of 80.
 *
 * It is a trie over the hash of the key, with 32 children per branch and small
 * leaves.
 */
import { computeHash } from "./rendezvous.ts";

/** Bits of the hash that select a child at each level. */
const BITS_PER_LEVEL = 5;
const CHILD_INDEX_MASK = 31;
const HASH_BITS = 32;
/** A leaf with more entries is split while unused bits of the hash are left. */
const MAX_LEAF_SLOTS = 8;

type Slot<Value> = readonly [key: string, value: Value];

interface Leaf<Value> {
  readonly slots: readonly Slot<Value>[];
}

interface Branch<Value> {
  readonly children: (Node<Value> | undefined)[];
  /**
   * Identity of the merge that created this branch, if any. While that merge
   * runs, nothing else refers to the branch, so it may change it in place.
   */
  readonly owner: object | undefined;
}

type Node<Value> = Leaf<Value> | Branch<Value>;

/**
 * An immutable map with string keys. Iteration follows the hashes of the keys.
 */
export class TrieMap<Value> implements ReadonlyMap<string, Value> {
  readonly #root: Node<Value>;
  readonly size: number;

  private constructor(root: Node<Value>, size: number) {
    this.#root = root;
    this.size = size;
  }

  /** Returns a map without entries. */
  static createEmpty<Value>(): TrieMap<Value> {
    return new TrieMap<Value>({ slots: [] }, 0);
  }

  get(key: string): Value | undefined {
    return findSlot(this.#root, key)?.[1];
  }

  has(key: string): boolean {
    return findSlot(this.#root, key) !== undefined;
  }

  /** Returns a copy of the map with one entry added or replaced. */
  add(key: string, value: Value): TrieMap<Value> {
    return this.merge([[key, value]]);
  }

  /**
   * Returns a copy of the map without one entry, or this map if it has none.
   */
  remove(key: string): TrieMap<Value> {
    if (!this.has(key)) return this;
    const root = removeSlot(this.#root, key, 0);
    return new TrieMap(root, this.size - 1);
  }

  /**
   * Returns a copy of the map with several entries added or replaced. A branch
   * is copied at most once for all entries.
   */
  merge(entries: Iterable<Slot<Value>>): TrieMap<Value> {
    const owner = {};
    let root = this.#root;
    let size = this.size;
    for (const slot of entries) {
      if (findSlot(root, slot[0]) === undefined) size++;
      root = addSlot(root, slot, { shift: 0, owner });
    }
    return new TrieMap(root, size);
  }

  entries(): MapIterator<[string, Value]> {
    return listSlots(this.#root) as MapIterator<[string, Value]>;
  }

  *keys(): MapIterator<string> {
    for (const [key] of listSlots(this.#root)) yield key;
  }

  *values(): MapIterator<Value> {
    for (const [, value] of listSlots(this.#root)) yield value;
  }

  [Symbol.iterator](): MapIterator<[string, Value]> {
    return this.entries();
  }

  forEach(
    callback: (
      value: Value,
      key: string,
      map: ReadonlyMap<string, Value>,
    ) => void,
  ): void {
    for (const [key, value] of listSlots(this.#root)) {
      callback(value, key, this);
    }
  }
}

function isLeaf<Value>(node: Node<Value>): node is Leaf<Value> {
  return "slots" in node;
}

function findSlot<Value>(root: Node<Value>, key: string) {
  let node: Node<Value> | undefined = root;
  let hash = computeHash(key);
  while (node !== undefined && !isLeaf(node)) {
    node = node.children[hash & CHILD_INDEX_MASK];
    hash >>>= BITS_PER_LEVEL;
  }
  return node?.slots.find((slot) => slot[0] === key);
}

function addSlot<Value>(
  node: Node<Value>,
  slot: Slot<Value>,
  at: { readonly shift: number; readonly owner: object },
): Node<Value> {
  if (isLeaf(node)) {
    const otherSlots = node.slots.filter((each) => each[0] !== slot[0]);
    const slots = [...otherSlots, slot];
    const mustSplit = slots.length > MAX_LEAF_SLOTS && at.shift < HASH_BITS;
    return mustSplit ? createBranch(slots, at) : { slots };
  }
  const index = (computeHash(slot[0]) >>> at.shift) & CHILD_INDEX_MASK;
  const child = node.children[index] ?? { slots: [] };
  const next = { shift: at.shift + BITS_PER_LEVEL, owner: at.owner };
  return changeChild(node, addSlot(child, slot, next), {
    index,
    owner: at.owner,
  });
}

function createBranch<Value>(
  slots: readonly Slot<Value>[],
  at: { readonly shift: number; readonly owner: object },
): Node<Value> {
  let branch: Node<Value> = { children: [], owner: at.owner };
  for (const slot of slots) branch = addSlot(branch, slot, at);
  return branch;
}

function changeChild<Value>(
  branch: Branch<Value>,
  child: Node<Value>,
  at: { readonly index: number; readonly owner: object | undefined },
): Branch<Value> {
  if (at.owner !== undefined && branch.owner === at.owner) {
    branch.children[at.index] = child;
    return branch;
  }
  const children = branch.children.slice();
  children[at.index] = child;
  return { children, owner: at.owner };
}

function removeSlot<Value>(
  node: Node<Value>,
  key: string,
  shift: number,
): Node<Value> {
  if (isLeaf(node)) {
    return { slots: node.slots.filter((slot) => slot[0] !== key) };
  }
  const index = (computeHash(key) >>> shift) & CHILD_INDEX_MASK;
  const child = removeSlot(node.children[index]!, key, shift + BITS_PER_LEVEL);
  return changeChild(node, child, { index, owner: undefined });
}

function* listSlots<Value>(node: Node<Value>): Generator<Slot<Value>> {
  if (isLeaf(node)) {
    yield* node.slots;
    return;
  }
  for (const child of node.children) {
    if (child !== undefined) yield* listSlots(child);
  }
}
