/**
 * Merges what a VM knows of a budget row into the row of a store that came back
 * from an older copy.
 *
 * Until the restore each value of the row was decided on the one before, so that
 * of two values the one with the higher version includes the other. The newest
 * one that any VM knows therefore replaces the row of the copy. Once the row was
 * changed otherwise, VMs that come with a newer value add what it lacks. An entry
 * that was changed in both eras is never lowered: its holder may have used its
 * tokens.
 */
import {
  createStoreVersion,
  type JsonValue,
  type Millis,
  readEra,
  readStoreNumber,
  type Row,
  type StoreTime,
  type Tokens,
  type VmId,
} from "../../core/mod.ts";
import {
  type BudgetRow,
  type GrantEntry,
  parseBudgetRow,
} from "../rows/budget_row.ts";

/**
 * Minimum time from the first write after a restore until tokens are taken from
 * the row again. The VMs that know of newer values write them in that time.
 */
export const RESTORE_PAUSE: Millis = 2_000;

/**
 * Time after which holders that have not merged what they know are taken for
 * lost, and tokens are taken without them.
 */
export const MAX_RESTORE_PAUSE: Millis = 10_000;

/** A row's value at a version, as a VM has read or written it. */
export type KnownRow = Pick<Row, "version" | "value">;

/** What a merge depends on besides the row. */
export interface MergeInput {
  /** The VM that merges. */
  readonly vm: VmId;
  /** Version of the row as read. */
  readonly version: number;
  /** The latest value that this VM knows, if any. */
  readonly known: KnownRow | undefined;
  readonly now: StoreTime;
}

/** Whether a restore is so recent that no tokens may be taken from a row. */
export function isRestoring(row: BudgetRow, now: StoreTime): boolean {
  const { at = -Infinity, holders = {} } = row.restored ?? {};
  const isComplete = Object.values(holders).every((hasMerged) => hasMerged);
  return now < at + (isComplete ? RESTORE_PAUSE : MAX_RESTORE_PAUSE);
}

/**
 * Whether a row has everything that this VM knows, so that it need not be
 * parsed to merge it.
 */
export function isRowMerged(
  value: JsonValue | undefined,
  input: Pick<MergeInput, "vm" | "version" | "known">,
): boolean {
  const era = readEra(input.version);
  if (era === 0) return true;
  if (input.known !== undefined && readEra(input.known.version) < era) {
    return false;
  }
  const row = value as Pick<BudgetRow, "era" | "restored"> | undefined;
  return row?.era === era && row.restored?.holders?.[input.vm] !== false;
}

/**
 * Returns the row with the store's era and all that the VM knows; the row itself
 * if it has both.
 */
export function mergeKnownRow(row: BudgetRow, input: MergeInput): BudgetRow {
  const { version, known } = input;
  if (isRowMerged({ ...row, era: row.era ?? 0 }, input)) return row;
  const era = readEra(version);
  const marked = row.era === era ? row : markRow(row, { ...input, era });
  const later = known === undefined
    ? undefined
    : parseBudgetRow(known.value).toMaybe().extract();
  if (
    known === undefined || later === undefined || readEra(known.version) >= era
  ) {
    return recordMerge(marked, { vm: input.vm, later: undefined });
  }
  const merged = known.version <= (marked.restored?.version ?? 0)
    ? marked
    : addLater(marked, { later, version: known.version, era });
  return recordMerge(merged, { vm: input.vm, later });
}

/** Adds a later value of the eras before a restore to a row. */
function addLater(
  row: BudgetRow,
  input: {
    readonly later: BudgetRow;
    readonly version: number;
    readonly era: number;
  },
): BudgetRow {
  const { later, version, era } = input;
  const isOnlyMerged = row.restored?.isOnlyMerged === true;
  return {
    ...(isOnlyMerged ? later : addMissing(row, later)),
    limit: Math.max(row.limit, later.limit),
    era,
    restored: {
      ...row.restored,
      version,
      closed: Math.max(row.restored?.closed ?? 0, later.closed),
    },
  };
}

/**
 * Records that a VM has merged what it knows, which is nothing if it has
 * restarted, and who else held grants. Only holders can know of tokens that no
 * other VM knows to be taken.
 */
function recordMerge(
  row: BudgetRow,
  input: { readonly vm: VmId; readonly later: BudgetRow | undefined },
): BudgetRow {
  const { restored } = row;
  if (restored?.at === undefined) return row;
  const { vm, later } = input;
  const holders = { ...listHolders(later), ...restored.holders };
  if (holders[vm] === false) holders[vm] = true;
  return { ...row, restored: { ...restored, holders } };
}

/** Returns the VMs that hold grants in a row, none of which has merged. */
function listHolders(row: BudgetRow | undefined): Record<VmId, boolean> {
  const vms = Object.values(row?.grants ?? {}).map((grant) => grant.vm);
  return Object.fromEntries(vms.map((vm) => [vm, false]));
}

/** Records that a row was changed otherwise than by merges, if it is recorded. */
export function recordChange(row: BudgetRow): BudgetRow {
  if (row.restored?.isOnlyMerged !== true) return row;
  const { isOnlyMerged: _, ...restored } = row.restored;
  return { ...row, restored };
}

/** Records the era in a row that was not written in it yet. */
function markRow(
  row: BudgetRow,
  input: MergeInput & { readonly era: number },
): BudgetRow {
  const { version, known, now, era } = input;
  const isRestored = row.era !== undefined ||
    (known !== undefined && readEra(known.version) < era);
  const restored = {
    version: createStoreVersion(row.era ?? era - 1, readStoreNumber(version)),
    closed: row.closed,
    ...(isRestored
      ? { at: now, isOnlyMerged: true, holders: listHolders(row) }
      : {}),
  };
  return { ...row, era, restored };
}

/** Adds what a later value has to a row that was changed since the restore. */
function addMissing(row: BudgetRow, known: BudgetRow): BudgetRow {
  const base = row.restored?.closed ?? 0;
  let closed = row.closed + Math.max(0, known.closed - base);
  let writtenOff = row.writtenOff ?? 0;
  const grants = { ...row.grants };
  const writeOffs = { ...row.writeOffs };
  for (const [id, entry] of Object.entries(known.grants)) {
    const ended = writeOffs[id];
    if (ended === undefined) {
      grants[id] = chooseLarger(grants[id], entry);
      continue;
    }
    const lacking: Tokens = Math.max(0, entry.size - ended.size);
    closed += lacking;
    writtenOff += lacking;
    writeOffs[id] = { ...ended, size: ended.size + lacking };
  }
  return {
    ...row,
    closed,
    grants,
    ...(known.loans === undefined && row.loans === undefined
      ? {}
      : { loans: { ...known.loans, ...row.loans } }),
    ...(writtenOff === 0 ? {} : { writtenOff, writeOffs }),
  };
}

function chooseLarger(
  entry: GrantEntry | undefined,
  known: GrantEntry,
): GrantEntry {
  if (entry === undefined) return known;
  const larger = known.size > entry.size ? known : entry;
  const spent = Math.max(entry.spent ?? 0, known.spent ?? 0);
  return spent === 0 ? larger : { ...larger, spent };
}
