/** What a way of keeping budgets is to an experiment: a node on each VM. */
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

/** One prepaid event of an experiment. */
export interface SampleEvent {
  readonly id: EventId;
  readonly limit: Tokens;
  readonly lean: BudgetPreference;
}

/** Tokens held for one request; what they are is up to the node. */
export interface HeldTokens {
  readonly eventId: EventId;
  readonly tokens: Tokens;
  readonly detail: unknown;
}

/** Hears whether tokens could be held. */
export type HoldSink = (held: HeldTokens | undefined) => void;

/** Keeps budgets on one VM. */
export interface BudgetNode {
  /** Holds tokens for a request, or refuses it after a bounded wait. */
  reserve(event: SampleEvent, tokens: Tokens, onEnd: HoldSink): void;
  /** Settles what was held at what was spent. */
  settle(held: HeldTokens, spent: Tokens): void;
  /** Receives a message of another VM's node. */
  receive(from: VmId, message: unknown): void;
  /** Tokens of an event that it could still give to requests without the table. */
  readRoom(eventId: EventId): Tokens;
}

/** What a node has around it. Nothing of it works once its VM has died. */
export interface NodeOptions {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly writer: StoreWriter;
  readonly vmCount: number;
  schedule(delay: Millis, action: Action): CancelAction;
  /** Sends a message to another VM; it may be lost. */
  send(to: VmId, message: unknown): void;
  /** Other VMs that seem reachable, nearest first. */
  listPeers(): readonly VmId[];
}

/** One way of keeping budgets. */
export interface BudgetPolicy {
  readonly name: string;
  /** Whether an event's requests go to its home VM of the region, or anywhere. */
  readonly usesHomes: boolean;
  createNode(options: NodeOptions): BudgetNode;
}
