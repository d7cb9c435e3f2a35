/**
 * Cached lookup of home VMs. An event's hash selects a slot, and each slot ranks
 * the live VMs of a region by rendezvous hashing. A slot is ranked at its first
 * lookup, so the cost of later lookups does not grow with the number of VMs. A
 * new view with the same live VMs in a region reuses the region's ranked slots.
 */
import {
  computeHash,
  computeScore,
  type EventId,
  type RegionId,
  type VmId,
} from "../../core/mod.ts";
import { type MembershipView, MemberState } from "../view.ts";

/**
 * Number of slots in a region. It is much larger than the number of VMs, so
 * that each VM gets a similar share of the events.
 */
const SLOTS = 4_096;

interface LiveVm {
  readonly vm: VmId;
  readonly hash: number;
}

/** The live VMs of one region and the slots ranked so far. */
class RegionHomes {
  readonly #vms: readonly LiveVm[];
  readonly #slots = new Map<number, readonly VmId[]>();

  constructor(vms: readonly VmId[]) {
    this.#vms = vms.map((vm) => ({ vm, hash: computeHash(vm) }));
  }

  /** Returns whether the region has exactly these VMs, in this order. */
  hasVms(vms: readonly VmId[]): boolean {
    return vms.length === this.#vms.length &&
      vms.every((vm, index) => vm === this.#vms[index]?.vm);
  }

  /** Returns the VMs with the highest scores in the event's slot, in order. */
  find(eventId: EventId, homes: number): readonly VmId[] {
    const slot = computeHash(eventId) % SLOTS;
    const known = this.#slots.get(slot);
    if (
      known !== undefined && known.length >= Math.min(homes, this.#vms.length)
    ) {
      return known.length === homes ? known : known.slice(0, homes);
    }
    const ranked = this.#rank(slot, homes);
    this.#slots.set(slot, ranked);
    return ranked;
  }

  /** Selects one VM after the other instead of sorting, since few are needed. */
  #rank(slot: number, homes: number): VmId[] {
    const ranked: VmId[] = [];
    const count = Math.min(homes, this.#vms.length);
    while (ranked.length < count) ranked.push(this.#findBest(slot, ranked));
    return ranked;
  }

  /** Returns the VM with the highest score that is not chosen yet. */
  #findBest(slot: number, chosen: readonly VmId[]): VmId {
    const key = computeHash(`slot-${slot}`);
    let best: LiveVm | undefined;
    let bestScore = -1;
    for (const each of this.#vms) {
      const score = computeScore(key, each.hash);
      const better = score > bestScore ||
        (score === bestScore && best !== undefined && each.vm < best.vm);
      if (!better || chosen.includes(each.vm)) continue;
      best = each;
      bestScore = score;
    }
    return best!.vm;
  }
}

type HomeIndex = ReadonlyMap<RegionId, RegionHomes>;

const INDEXES = new WeakMap<MembershipView["members"], HomeIndex>();

/** The index created last. It is only a cache; no result depends on it. */
let latestIndex: HomeIndex = new Map();

/** Returns the home VMs of an event in a region, highest score first. */
export function findHomes(
  view: MembershipView,
  input: {
    readonly eventId: EventId;
    readonly region: RegionId;
    readonly homes: number;
  },
): readonly VmId[] {
  const homes = readIndex(view).get(input.region);
  return homes?.find(input.eventId, input.homes) ?? [];
}

function readIndex(view: MembershipView): HomeIndex {
  const known = INDEXES.get(view.members);
  if (known !== undefined) return known;
  const index = createIndex(view, latestIndex);
  INDEXES.set(view.members, index);
  latestIndex = index;
  return index;
}

/** Returns an index of the view; reuses the regions whose VMs are unchanged. */
function createIndex(view: MembershipView, earlier: HomeIndex): HomeIndex {
  const byRegion = new Map<RegionId, VmId[]>();
  for (const { vm, region, state } of view.members.values()) {
    if (state !== MemberState.Live) continue;
    const vms = byRegion.get(region) ?? [];
    byRegion.set(region, vms);
    vms.push(vm);
  }
  const index = new Map<RegionId, RegionHomes>();
  for (const [region, vms] of byRegion) {
    vms.sort();
    const previous = earlier.get(region);
    const same = previous?.hasVms(vms) === true;
    index.set(region, same ? previous! : new RegionHomes(vms));
  }
  return index;
}
