/**
 * Interfaces of the model checker. A specification is a small transition system
 * with named guards and invariants. Its functions are pure, and its states hold
 * only small, serialisable data.
 */
import type { Guard } from "./guard.ts";

/**
 * Properties that must hold in every reachable state. The model report prints
 * the value after `violated:`.
 */
export enum Invariant {
  /** Targets never use more tokens than were paid for. */
  NeverOverspent = "never-overspent",
  /** The budget row accounts for all tokens that were used or may still be. */
  TokensConserved = "tokens-conserved",
  /** A target runs a call that may not be repeated at most once. */
  RunsAtMostOnce = "runs-at-most-once",
  /** A call that was reported to its caller as not run has not run. */
  ToldNotRunWasNotRun = "told-not-run-was-not-run",
  /** A request is billed at most once. */
  BilledAtMostOnce = "billed-at-most-once",
  /** A completed request is billed exactly once when no work is left. */
  BilledExactlyOnceAtRest = "billed-exactly-once-at-rest",
  /** An answer belongs to its request and comes from one run only. */
  OwnWholeAnswer = "own-whole-answer",
  /** No order takes effect at a target after an order with a newer token. */
  OrdersNeverGoBack = "orders-never-go-back",
  /** No two VMs hold a lease with the same fencing token. */
  OneHolderPerToken = "one-holder-per-token",
  /** A VM never replaces its document by an older version. */
  DocumentNeverReverts = "document-never-reverts",
  /** No change overwrites another one that its operator had not seen. */
  ChangesNotLost = "changes-not-lost",
  /** The document as a whole is valid. */
  DocumentValid = "document-valid",
  /** A change that was reported as refused is not in the document. */
  ToldRefusedWasNotApplied = "told-refused-was-not-applied",
}

/** One transition from a state. Labels are unique among a state's steps. */
export interface Step<State> {
  readonly label: string;
  readonly next: State;
}

/** Returns whether a guard is switched on. */
export type GuardCheck = (guard: Guard) => boolean;

/** A transition system with the invariants that its states must satisfy. */
export interface Specification<State> {
  readonly name: string;
  /** Description of what is covered, with the bounds of the state space. */
  readonly scope: string;
  readonly guards: readonly Guard[];
  readonly invariants: readonly Invariant[];
  createInitial(): State;
  /** Returns every step that is possible in a state, including faults. */
  listSteps(state: State, isOn: GuardCheck): readonly Step<State>[];
  /** Returns the first invariant that a state violates, if any. */
  findViolation(state: State): Invariant | undefined;
  /** Returns a short text that is different for any two different states. */
  formatState(state: State): string;
}

/** A specification that can be explored without knowing its state type. */
export interface Model {
  readonly name: string;
  readonly scope: string;
  readonly guards: readonly Guard[];
  readonly invariants: readonly Invariant[];
  /** Explores all states that are reachable from the initial state. */
  explore(options: ExploreOptions): ModelReport;
}

/** Options of an exploration. */
export interface ExploreOptions {
  /** Guard to switch off; absent to keep all guards on. */
  readonly breakGuard?: Guard;
  /** Number of visited states after which the exploration stops. */
  readonly maxStates: number;
  /** Reads a monotonic clock in milliseconds. */
  readonly readTime: () => number;
}

/** A violated invariant with a shortest counterexample. */
export interface Violation {
  readonly invariant: Invariant;
  /** Labels of the steps from the initial state to the violating state. */
  readonly trace: readonly string[];
}

/** Result of exploring one model. */
export interface ModelReport {
  readonly model: string;
  readonly states: number;
  readonly transitions: number;
  /** Largest distance of a visited state from the initial state, in steps. */
  readonly depth: number;
  readonly millis: number;
  /** Whether every reachable state was visited without finding a violation. */
  readonly exhausted: boolean;
  readonly violation?: Violation;
}
