/** Bills: the tokens that a request used, charged to its event. */
import type {
  CustomerId,
  EventId,
  KindId,
  RequestKey,
  Tokens,
  WallTime,
} from "../core/mod.ts";

/**
 * The bill of one request. Customer and request key identify it; bills with the
 * same identity are charged once.
 */
export interface Bill {
  readonly customer: CustomerId;
  readonly requestKey: RequestKey;
  readonly event: EventId;
  readonly kind: KindId;
  readonly tokens: Tokens;
  readonly endedAt: WallTime;
}

/** Returns a bill's identity as a string, unique for customer and request key. */
export function formatBillIdentity(bill: Bill): string {
  const customer = encodeURIComponent(bill.customer);
  return `${customer}/${encodeURIComponent(bill.requestKey)}`;
}
