/** The admission ticket of a request. */
import type {
  CustomerId,
  KindId,
  MonotonicTime,
  Priority,
  ServiceId,
  Tokens,
} from "../../core/mod.ts";

/** The properties of a request on which admission decides. */
export interface Ticket {
  /** Unique on this VM. */
  readonly id: string;
  readonly customer: CustomerId;
  readonly service: ServiceId;
  readonly kind: KindId;
  readonly priority: Priority;
  /** Weight of its customer in fair queueing, relative to other customers. */
  readonly weight: number;
  /**
   * Estimated token usage, counted against the customer's rate until it ends.
   */
  readonly tokens: Tokens;
  /** Tokens of the prompt if known; absent for plain services. */
  readonly promptTokens?: Tokens;
  /** Time by which its complete answer must arrive. */
  readonly deadline: MonotonicTime;
  readonly arrivedAt: MonotonicTime;
}
