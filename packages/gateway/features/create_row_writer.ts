/** Creates the writers of the gateway's own rows, one for each row. */
import type { Millis } from "../../core/mod.ts";
import { StoreWriter } from "../../ports/mod.ts";
import type { GatewayContext } from "../gateway_context.ts";

/**
 * Returns a writer of a single row.
 *
 * @param maxBackoff Maximum pause between two attempts to reach the store.
 */
export function createRowWriter(
  context: GatewayContext,
  maxBackoff: Millis,
): StoreWriter {
  const { dialect, clock, random } = context;
  return new StoreWriter({
    table: dialect.table,
    clock,
    random,
    groupDelay: 0,
    maxBackoff,
    maxCachedRows: 1,
  });
}
