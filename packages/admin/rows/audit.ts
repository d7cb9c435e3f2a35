/**
 * The audit trail: one row for each change. If the change writes rows, its entry
 * is written in the same transaction, so that neither exists without the other.
 */
import { z } from "zod";
import type { JsonValue, RowOperation, WallTime } from "../../core/mod.ts";

/** Key prefix of the audit trail's rows. */
export const AUDIT_PREFIX = "audit/";

const TIME_DIGITS = 14;

/** Schema of an entry of the audit trail. */
export const AUDIT_SCHEMA = z.object({
  at: z.number(),
  who: z.string(),
  action: z.string(),
  target: z.string(),
  id: z.string(),
});

/** One entry of the audit trail. */
export type AuditEntry = z.infer<typeof AUDIT_SCHEMA>;

/** Returns the row key of an entry; keys sort by time. */
export function formatAuditKey(at: WallTime, requestId: string): string {
  const time = String(Math.floor(at)).padStart(TIME_DIGITS, "0");
  return `${AUDIT_PREFIX}${time}/${encodeURIComponent(requestId)}`;
}

/**
 * Returns the operation extended to write an audit entry in its transaction. The
 * entry is omitted if the operation writes nothing.
 */
export function createAuditedOperation<Result>(
  operation: RowOperation<Result>,
  input: { readonly entry: AuditEntry; readonly requestId: string },
): RowOperation<Result> {
  const key = formatAuditKey(input.entry.at, input.requestId);
  const value: JsonValue = { ...input.entry };
  return {
    id: operation.id,
    keys: [...operation.keys, key],
    decide(rows) {
      const { writes, result } = operation.decide(rows);
      // A repeated request writes nothing and must not add a second entry.
      if (writes.length === 0) return { writes, result };
      return { writes: [...writes, { key, value }], result };
    },
  };
}

/** Returns an operation that writes only an audit entry, unless it exists. */
export function createAuditEntryOperation(
  input: { readonly entry: AuditEntry; readonly requestId: string },
): RowOperation<void> {
  const key = formatAuditKey(input.entry.at, input.requestId);
  return {
    id: key,
    keys: [key],
    decide(rows) {
      const value: JsonValue = { ...input.entry };
      const writes = rows.has(key) ? [] : [{ key, value }];
      return { writes, result: undefined };
    },
  };
}
