/** A request that asks to be let in. */
import type {
  CustomerId,
  KindId,
  MonotonicTime,
  Priority,
  ServiceId,
  Tokens,
} from "../../core/mod.ts";

/** What admission needs to know of a request. */
export interface Ticket {
  /** Unique on this VM. */
  readonly id: string;
  readonly customer: CustomerId;
  readonly service: ServiceId;
  readonly kind: KindId;
  readonly priority: Priority;
  /** Share of its customer when capacity is scarce, relative to others. */
  readonly weight: number;
  /** Tokens that it is expected to use. */
  readonly tokens: Tokens;
  /** Tokens of the prompt, as far as known; none for plain services. */
  readonly promptTokens?: Tokens;
  /** Time by which its whole answer is wanted. */
  readonly deadline: MonotonicTime;
  readonly arrivedAt: MonotonicTime;
}
