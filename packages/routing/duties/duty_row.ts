/**
 * The row of one control duty, with the key `duty/NAME`. It is a lease: the VM
 * that holds it gives orders to targets, each with the row's fencing number. The
 * number increases with every new holder and never decreases.
 */
import { z } from "zod";
import type {
  Incarnation,
  JsonValue,
  Millis,
  Row,
  RowOperation,
  RowView,
  VmId,
  WallTime,
} from "../../core/mod.ts";

const DUTY_SCHEMA = z.object({
  vm: z.string(),
  incarnation: z.string(),
  fence: z.number().int().positive(),
  renewals: z.number().int().nonnegative(),
  released: z.boolean(),
  longestOrder: z.number().nonnegative(),
  changedAt: z.number(),
});

/** The value of a duty's row. */
export type DutyRow = z.infer<typeof DUTY_SCHEMA>;

/** The holder of a duty: one incarnation of one VM. */
export interface DutyHolder {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
}

/**
 * State of a lease as a VM read it. The lease has lapsed if this state did not
 * change for the length of the lease.
 */
export interface SeenLease {
  readonly fence: number;
  readonly renewals: number;
}

/** Result of the operation that takes a duty. */
export interface TakeDutyResult {
  /** Whether the requesting VM holds the duty now. */
  readonly held: boolean;
  readonly fence: number;
  readonly renewals: number;
  /**
   * Upper bound on the time in which orders of earlier holders take effect;
   * some of these orders may still be in transit.
   */
  readonly previousLongestOrder: Millis;
}

/** Result of the operation that renews or releases a duty. */
export interface KeepDutyResult {
  /**
   * Whether the VM holds the duty now; false if the duty was released or
   * another VM has taken it.
   */
  readonly held: boolean;
  readonly renewals: number;
}

/** Returns the key of a duty's row. */
export function formatDutyKey(duty: string): string {
  return `duty/${encodeURIComponent(duty)}`;
}

/**
 * Parses a duty's row; undefined if no VM ever held the duty. Throws if the row
 * does not match the schema.
 */
export function parseDutyRow(row: Row | undefined): DutyRow | undefined {
  if (row === undefined) return undefined;
  const parsed = DUTY_SCHEMA.safeParse(row.value);
  if (parsed.success) return parsed.data;
  throw new Error(
    `Row ${row.key} is damaged: ${
      z.prettifyError(parsed.error)
    }. Restore it from the store's backup.`,
  );
}

/**
 * Returns the operation that takes a duty if it was never held, was released,
 * or has lapsed. The lease has lapsed only if it still has the state `lapsed`,
 * which the requesting VM observed for a whole lease length on its own monotonic
 * clock.
 */
export function createTakeDuty(
  input: {
    readonly duty: string;
    readonly holder: DutyHolder;
    readonly longestOrder: Millis;
    readonly lapsed?: SeenLease;
    readonly wallTime: WallTime;
  },
): RowOperation<TakeDutyResult> {
  const key = formatDutyKey(input.duty);
  const { vm, incarnation } = input.holder;
  return {
    id: `take/${key}/${vm}/${incarnation}`,
    keys: [key],
    decide(rows) {
      const row = readRow(rows, key);
      if (row !== undefined && isHeldBy(row, input.holder)) {
        return { writes: [], result: createTakeResult(row, { held: true }) };
      }
      if (row !== undefined && !isFree(row, input.lapsed)) {
        return { writes: [], result: createTakeResult(row, { held: false }) };
      }
      const taken: DutyRow = {
        vm,
        incarnation,
        fence: (row?.fence ?? 0) + 1,
        renewals: 0,
        released: false,
        longestOrder: Math.max(input.longestOrder, row?.longestOrder ?? 0),
        changedAt: input.wallTime,
      };
      const value: JsonValue = { ...taken };
      return {
        writes: [{ key, value }],
        result: createTakeResult(taken, { held: true }),
      };
    },
  };
}

/** Returns the operation that sets a duty's number of renewals. */
export function createRenewDuty(
  input: {
    readonly duty: string;
    readonly holder: DutyHolder;
    readonly fence: number;
    /**
     * One more than the holder's last number. It makes the operation idempotent:
     * deciding it again changes nothing.
     */
    readonly renewals: number;
    readonly wallTime: WallTime;
  },
): RowOperation<KeepDutyResult> {
  const key = formatDutyKey(input.duty);
  return {
    id: `renew/${key}/${input.fence}/${input.renewals}`,
    keys: [key],
    decide(rows) {
      const row = readRow(rows, key);
      const held = row !== undefined && row.fence === input.fence &&
        isHeldBy(row, input.holder);
      if (!held) return decideKeep(false, row?.renewals ?? 0);
      if (row.renewals >= input.renewals) return decideKeep(true, row.renewals);
      const { renewals, wallTime } = input;
      const value: JsonValue = { ...row, renewals, changedAt: wallTime };
      return { ...decideKeep(true, renewals), writes: [{ key, value }] };
    },
  };
}

/**
 * Returns the operation that releases a duty, so that another VM can take it
 * without waiting for the lease to lapse.
 */
export function createReleaseDuty(
  input: {
    readonly duty: string;
    readonly holder: DutyHolder;
    readonly fence: number;
    readonly wallTime: WallTime;
  },
): RowOperation<KeepDutyResult> {
  const key = formatDutyKey(input.duty);
  return {
    id: `release/${key}/${input.fence}`,
    keys: [key],
    decide(rows) {
      const row = readRow(rows, key);
      const held = row !== undefined && row.fence === input.fence &&
        isHeldBy(row, input.holder);
      if (!held) return decideKeep(false, row?.renewals ?? 0);
      const value: JsonValue = {
        ...row,
        released: true,
        changedAt: input.wallTime,
      };
      return { ...decideKeep(false, row.renewals), writes: [{ key, value }] };
    },
  };
}

function readRow(rows: RowView, key: string): DutyRow | undefined {
  return parseDutyRow(rows.get(key));
}

function isHeldBy(row: DutyRow, holder: DutyHolder): boolean {
  return !row.released && row.vm === holder.vm &&
    row.incarnation === holder.incarnation;
}

function isFree(row: DutyRow, lapsed: SeenLease | undefined): boolean {
  if (row.released) return true;
  return lapsed !== undefined && lapsed.fence === row.fence &&
    lapsed.renewals === row.renewals;
}

function createTakeResult(
  row: DutyRow,
  options: { readonly held: boolean },
): TakeDutyResult {
  return {
    held: options.held,
    fence: row.fence,
    renewals: row.renewals,
    previousLongestOrder: row.longestOrder,
  };
}

/** Returns a decision that writes nothing and has the given result. */
function decideKeep(held: boolean, renewals: number) {
  return { writes: [], result: { held, renewals } };
}
