/**
 * What a VM knows of the others by their rows: which may be called, and which of
 * them stop as planned.
 *
 * A VM that stops says so in its row. Until it has ended the others count it as
 * one of them, since it still serves requests, but they open nothing at it that
 * its stop would cut. Its row stays, since it mostly comes back with a new key;
 * one that does not is no peer any more.
 */
import type { Millis, MonotonicTime, VmId } from "../../../core/mod.ts";
import type { PeerWithRegion } from "../../../lending/mod.ts";

/** The row of a VM, as parsed. */
export interface PeerEntry {
  /** `host:port` of the peer's server for requests of peers. */
  readonly address: string;
  readonly region?: string | undefined;
  /** Requests to the peer carry this key; it is new for each incarnation. */
  readonly key: string;
  /** Whether a planned stop of this incarnation has begun. */
  readonly leaving?: boolean | undefined;
}

/** A VM that is known by its row. */
export interface KnownPeer extends PeerEntry {
  /** When its planned stop became known. */
  readonly leavingSince?: MonotonicTime;
}

/** The other VMs by name. */
export type KnownPeers = ReadonlyMap<VmId, KnownPeer>;

/** A row that has changed; without a value it is gone. */
export interface PeerChange {
  readonly key: VmId;
  readonly value?: PeerEntry;
}

/**
 * Time after which a VM that stops as planned and has not come back is no peer.
 * It is longer than a stop and a restart take, and than callers take up streams:
 * until then nobody may be sure of what it has seen.
 */
const MAX_ABSENCE: Millis = 120_000;

/** Returns the known VMs after changes of rows. */
export function applyPeerChanges(
  known: KnownPeers,
  changes: readonly PeerChange[],
  { self, now }: { readonly self: VmId; readonly now: MonotonicTime },
): KnownPeers {
  const peers = new Map(known);
  for (const { key, value } of changes) {
    if (value === undefined || key === self) {
      peers.delete(key);
      continue;
    }
    const before = peers.get(key);
    const since = before?.key === value.key ? before.leavingSince : undefined;
    peers.set(key, {
      ...value,
      ...(value.leaving ? { leavingSince: since ?? now } : {}),
    });
  }
  return peers;
}

/** Returns the VMs that may be called. */
export function listPresentPeers(
  known: KnownPeers,
  now: MonotonicTime,
): PeerWithRegion[] {
  return [...known]
    .filter(([, { leavingSince = Infinity }]) =>
      now < leavingSince + MAX_ABSENCE
    )
    .map(([vm, { address, region }]) => ({
      vm,
      address,
      ...(region === undefined ? {} : { region }),
    }));
}

/**
 * Returns when the next of the present VMs is no peer any more, unless it comes
 * back; undefined if none stops.
 */
export function computeNextAbsence(
  known: KnownPeers,
  now: MonotonicTime,
): MonotonicTime | undefined {
  const times = [...known.values()]
    .flatMap(({ leavingSince }) =>
      leavingSince === undefined ? [] : [leavingSince + MAX_ABSENCE]
    )
    .filter((time) => time > now);
  return times.length === 0 ? undefined : Math.min(...times);
}

/** Returns the VMs whose planned stop has become known by a change. */
export function listNewlyLeaving(
  before: KnownPeers,
  after: KnownPeers,
): VmId[] {
  return [...after]
    .filter(([vm, peer]) =>
      peer.leavingSince !== undefined &&
      before.get(vm)?.leavingSince !== peer.leavingSince
    )
    .map(([vm]) => vm);
}
