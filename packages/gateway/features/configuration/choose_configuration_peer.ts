/**
 * Chooses how a VM learns of new configurations. A configuration may have
 * hundreds of KB, and each VM that follows it at the store receives every
 * version whole, in one region over a link that all its VMs share. So a few VMs
 * of a large region read it from the store, and the others ask these. The load
 * that this answers is one version after another in a large fleet; in a small
 * region all VMs ask the store.
 */
import type {
  Millis,
  RandomSource,
  VmId,
  VmWithRegion,
} from "../../../core/mod.ts";
import {
  chooseHomes,
  HOMES_PER_REGION,
  MAX_SMALL_REGION,
} from "../../../lending/mod.ts";

/** Key by which the readers of a region are drawn. */
const READERS_KEY = "configuration-readers";

/**
 * Fraction of the deadline over which an answer is late. The store holds a
 * reader's call for a quarter of the deadline.
 */
const LATE_SHARE = 0.35;

/** Maximum number of VMs that one whose configuration is overdue asks at once. */
const MAX_ASKED = 3;

/** The VMs that a VM knows, itself apart. */
export interface KnownVms {
  readonly self: VmWithRegion;
  /** The other VMs, without those that lately did not answer. */
  readonly others: readonly VmWithRegion[];
}

/** Whether a VM is one of those of its region that read from the store. */
export function isConfigurationReader(vms: KnownVms): boolean {
  return listReaders(vms).includes(vms.self.vm);
}

/**
 * Returns the VMs that read from the store, in the order in which one VM asks
 * them.
 */
export function listReaders(vms: KnownVms): readonly VmId[] {
  return chooseHomes(READERS_KEY, vms);
}

/** Whether VMs of the own region leave the reading to others. */
export function isReadingShared({ self, others }: KnownVms): boolean {
  return countLocal({ self, others }) > MAX_SMALL_REGION;
}

/**
 * Whether a VM whose configuration is overdue leaves the store to the readers of
 * its region: each VM that reads the whole makes them slower. Beyond the deadline
 * it doesn't, since a reader that is connected to the store may still be cut off
 * from the feed of the configuration.
 */
export function isLeftToReaders(
  input: {
    /** Time since the VM's configuration was known to be the newest. */
    readonly age: Millis;
    /** Time within which a version has to be in use everywhere. */
    readonly deadline: Millis;
    /** Whether a reader has lately said that the store answers it. */
    readonly isReaderConnected: boolean;
  },
): boolean {
  return input.isReaderConnected && input.age <= input.deadline;
}

/**
 * Whether a VM asks the store in this turn although it is no reader, since it
 * could not confirm its configuration at others. Each is drawn with a
 * probability by which about as many of a region ask at a time as it has
 * readers.
 *
 * @param random A random number that is at least 0 and less than 1.
 */
export function isDrawnAsReader(vms: KnownVms, random: number): boolean {
  return random * countLocal(vms) < HOMES_PER_REGION;
}

/**
 * Whether a reader's knowledge was old when it arrived, by more than the time
 * for which calls are held, so that another reader may serve better.
 *
 * @param age Time since the received configuration was known to be the newest.
 * @param deadline Time within which a version has to be in use everywhere.
 */
export function isLateAnswer(age: Millis, deadline: Millis): boolean {
  return age > LATE_SHARE * deadline;
}

/**
 * Returns the VM to ask: a reader, those of the own region first, and any VM
 * after each failure with a reader. Undefined if no other is known.
 */
export function chooseConfigurationPeer(
  vms: KnownVms,
  input: {
    /** Turns since the configuration was last confirmed. */
    readonly attempt: number;
    /** Number of late answers so far; each makes another reader the first. */
    readonly lateAnswers: number;
    /** A random number that is at least 0 and less than 1. */
    readonly random: number;
  },
): VmId | undefined {
  const { self, others } = vms;
  const { attempt, lateAnswers, random } = input;
  if (attempt % 2 === 1) return others[Math.floor(random * others.length)]?.vm;
  const readers = listReaders(vms).filter((vm) => vm !== self.vm);
  const local = others.filter((each) => each.region === self.region);
  const locals = readers.filter((reader) =>
    local.some(({ vm }) => vm === reader)
  );
  const first = locals.length === 0 ? 0 : lateAnswers % locals.length;
  const ordered = [
    ...locals.slice(first),
    ...locals.slice(0, first),
    ...readers.slice(locals.length),
  ];
  return ordered[(attempt / 2) % ordered.length];
}

/**
 * Returns the VMs that are asked at once while the configuration is overdue:
 * who has a newer one is not known, and may be no reader.
 */
export function chooseOverduePeers(
  vms: KnownVms,
  input: {
    readonly attempt: number;
    readonly lateAnswers: number;
    readonly random: RandomSource;
  },
): readonly VmId[] {
  const { attempt, lateAnswers, random } = input;
  const chosen = Array.from(
    { length: MAX_ASKED },
    (_, index) =>
      chooseConfigurationPeer(vms, {
        // The first follows the turns, the others are any VMs.
        attempt: index === 0 ? attempt : 1,
        lateAnswers,
        random: random(),
      }),
  );
  return [...new Set(chosen)].filter((vm) => vm !== undefined);
}

function countLocal({ self, others }: KnownVms): number {
  return others.filter((each) => each.region === self.region).length + 1;
}
