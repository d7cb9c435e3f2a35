/** The clock of the store, by which VMs compare times with each other. */
import type { StoreTime } from "../../core/mod.ts";
import type { GatewayContext } from "../gateway_context.ts";

/**
 * Returns a lower bound of the current time by the store's clock; undefined
 * before the store has answered a call.
 */
export function readStoreTime(context: GatewayContext): StoreTime | undefined {
  const reading = context.dialect.table.readTime?.();
  if (reading === undefined) return undefined;
  const elapsed = context.clock.readMonotonic() - reading.receivedAt;
  return reading.time + Math.max(0, elapsed);
}
