/**
 * The VMs of a replay with the state in their memory, and their common store.
 */
import type { EventAccount, LoanAnswer, Reservation } from "../budget/mod.ts";
import { createEventAccount } from "../budget/mod.ts";
import type { EventId, Incarnation, VmId } from "../core/mod.ts";
import type { DocumentState } from "../document/mod.ts";
import { createDocumentState } from "../document/mod.ts";
import type { MembershipView } from "../membership/mod.ts";
import { createMembershipView, MemberState } from "../membership/mod.ts";
import { RequestTable } from "../request/mod.ts";
import type { AnswerAssembler, DutyWatch } from "../routing/mod.ts";
import { Quarantine, RetryBudgets } from "../routing/mod.ts";
import { ReplayStore } from "./replay_store.ts";

/** Region of all VMs of a replay. */
export const REPLAY_REGION = "region";

/** State in the memory of one incarnation of a VM. */
export interface ReplayVm {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  readonly accounts: Map<EventId, EventAccount>;
  /** Reservations by the name of their request. */
  readonly reservations: Map<string, Reservation>;
  readonly requests: RequestTable<string>;
  readonly quarantine: Quarantine;
  readonly duties: Map<string, DutyWatch>;
  readonly retries: RetryBudgets;
  /** Answers that are being streamed, by the name of their request. */
  readonly answers: Map<string, AnswerAssembler>;
  document: DocumentState;
  view: MembershipView;
}

/** The VMs of a replay, the loan answers between them and the store. */
export class ReplayFleet {
  readonly store = new ReplayStore();
  /**
   * Loan answers on the network by transfer id; each may arrive several times.
   */
  readonly loanAnswers = new Map<string, LoanAnswer>();
  readonly #vms = new Map<VmId, ReplayVm>();
  /** Tokens that targets have used, by event. */
  readonly #usedTokens = new Map<EventId, number>();

  /** Returns a VM, which is started when it is first asked for. */
  getVm(vm: VmId): ReplayVm {
    return this.#vms.get(vm) ?? this.#startVm(vm, "1");
  }

  /** Starts a new incarnation of a VM with an empty memory. */
  startNextIncarnation(vm: VmId): Incarnation {
    const incarnation = Number(this.getVm(vm).incarnation) + 1;
    return this.#startVm(vm, String(incarnation)).incarnation;
  }

  /** Returns a VM's account of an event. */
  getAccount(vm: VmId, event: EventId): EventAccount {
    return this.getVm(vm).accounts.get(event) ?? createEventAccount(event);
  }

  /** Replaces a VM's account of an event. */
  putAccount(vm: VmId, account: EventAccount): void {
    this.getVm(vm).accounts.set(account.eventId, account);
  }

  /** Adds tokens that a target has used for an event. */
  recordUsedTokens(event: EventId, tokens: number): void {
    this.#usedTokens.set(event, this.readUsedTokens(event) + tokens);
  }

  /** Returns the tokens that targets have used for an event. */
  readUsedTokens(event: EventId): number {
    return this.#usedTokens.get(event) ?? 0;
  }

  #startVm(vm: VmId, incarnation: Incarnation): ReplayVm {
    const started: ReplayVm = {
      vm,
      incarnation,
      accounts: new Map(),
      reservations: new Map(),
      requests: new RequestTable(),
      quarantine: new Quarantine(),
      duties: new Map(),
      retries: new RetryBudgets(),
      answers: new Map(),
      document: createDocumentState(),
      view: createMembershipView({
        vm,
        incarnation,
        state: MemberState.Live,
        region: REPLAY_REGION,
        dataCentre: "data-centre",
        peerAddress: `${vm}:1`,
        callerAddress: `${vm}:2`,
        documentVersion: 0,
        heardAt: 0,
      }),
    };
    this.#vms.set(vm, started);
    return started;
  }
}
