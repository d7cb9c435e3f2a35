/**
 * The interface between an experiment and a budget policy, which runs as one
 * node on each VM.
 */
import type {
  BudgetPreference,
  Clock,
  EventId,
  Incarnation,
  Millis,
  RandomSource,
  RegionId,
  Tokens,
  VmId,
} from "../../core/mod.ts";
import type { StoreWriter } from "../../ports/mod.ts";
import type { Action, CancelAction } from "../harness/virtual_clock.ts";

/** A prepaid event whose budget the experiment uses. */
export interface SampleEvent {
  readonly id: EventId;
  readonly limit: Tokens;
  readonly lean: BudgetPreference;
}

/** Tokens reserved for one request. */
export interface HeldTokens {
  readonly eventId: EventId;
  readonly tokens: Tokens;
  /** Data that only the node that made the reservation uses. */
  readonly detail: unknown;
}

/** Receives the reserved tokens, or undefined when the request is refused. */
export type HoldCallback = (held: HeldTokens | undefined) => void;

/** Enforces budgets on one VM. */
export interface BudgetNode {
  /** Reserves tokens for a request, or refuses it after a bounded wait. */
  reserve(event: SampleEvent, tokens: Tokens, onEnd: HoldCallback): void;
  /** Settles a reservation with the tokens that were spent. */
  settle(held: HeldTokens, spent: Tokens): void;
  /** Receives a message from the node of another VM. */
  receive(from: VmId, message: unknown): void;
  /** Returns the tokens of an event that are available without the store. */
  readRoom(eventId: EventId): Tokens;
}

/**
 * Environment of a node. Once the VM has died, the store is unreachable,
 * messages are not delivered and scheduled actions do not run.
 */
export interface NodeOptions {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly writer: StoreWriter;
  readonly vmCount: number;
  schedule(delay: Millis, action: Action): CancelAction;
  /** Sends a message to another VM; the message may be lost. */
  send(to: VmId, message: unknown): void;
  /**
   * Returns the other VMs that are reachable, those of the same region first.
   */
  listPeers(): readonly VmId[];
}

/** A way of enforcing budgets. */
export interface BudgetPolicy {
  readonly name: string;
  /**
   * Whether an event's requests go to its home VM in the region of the request,
   * or to any VM of that region.
   */
  readonly usesHomes: boolean;
  createNode(options: NodeOptions): BudgetNode;
}
