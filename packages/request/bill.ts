/** A bill: what one request cost its event, written once per request key. */
import type {
  CustomerId,
  EventId,
  KindId,
  RequestKey,
  Tokens,
  WallTime,
} from "../core/mod.ts";

/** One request's bill. Its identity is customer and request key. */
export interface Bill {
  readonly customer: CustomerId;
  readonly requestKey: RequestKey;
  readonly event: EventId;
  readonly kind: KindId;
  readonly tokens: Tokens;
  readonly endedAt: WallTime;
}

/** Returns the identity under which a bill counts once. */
export function formatBillIdentity(bill: Bill): string {
  const customer = encodeURIComponent(bill.customer);
  return `${customer}/${encodeURIComponent(bill.requestKey)}`;
}
