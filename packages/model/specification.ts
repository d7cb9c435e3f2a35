/**
 * A specification: a small transition system with named guards and invariants.
 * Its functions are pure; a state holds only short, serialisable data.
 */
import type { Guard } from "./guard.ts";

/** What must hold. The value is printed after `violated:`. */
export enum Invariant {
  NeverOverspent = "never-overspent",
  TokensConserved = "tokens-conserved",
  RunsAtMostOnce = "runs-at-most-once",
  ToldNotRunWasNotRun = "told-not-run-was-not-run",
  BilledAtMostOnce = "billed-at-most-once",
  BilledExactlyOnceAtRest = "billed-exactly-once-at-rest",
  OwnWholeAnswer = "own-whole-answer",
  OrdersNeverGoBack = "orders-never-go-back",
  OneHolderPerToken = "one-holder-per-token",
  DocumentNeverReverts = "document-never-reverts",
  ChangesNotLost = "changes-not-lost",
  DocumentValid = "document-valid",
  ToldRefusedWasNotApplied = "told-refused-was-not-applied",
}

/** One possible next step of a state. Labels are unique among its steps. */
export interface Step<State> {
  readonly label: string;
  readonly next: State;
}

/** Says whether a guard is in force. */
export type GuardCheck = (guard: Guard) => boolean;

/** One transition system. */
export interface Specification<State> {
  readonly name: string;
  /** What it covers and by which numbers it is bounded. */
  readonly scope: string;
  readonly guards: readonly Guard[];
  readonly invariants: readonly Invariant[];
  createInitial(): State;
  /** Lists every step, faults included. */
  listSteps(state: State, isOn: GuardCheck): readonly Step<State>[];
  /** Returns the first invariant that a state breaks. */
  findViolation(state: State): Invariant | undefined;
  /** Returns a short text that differs for any two states that differ. */
  formatState(state: State): string;
}

/** A specification whose state type is hidden. */
export interface Model {
  readonly name: string;
  readonly scope: string;
  readonly guards: readonly Guard[];
  readonly invariants: readonly Invariant[];
  /** Explores it from its first state. */
  explore(options: ExploreOptions): ModelReport;
}

/** How to explore. */
export interface ExploreOptions {
  /** The guard that is switched off. */
  readonly breakGuard?: Guard;
  /** States after which the exploration gives up. */
  readonly maxStates: number;
  /** Reads a monotonic clock in milliseconds. */
  readonly readTime: () => number;
}

/** The shortest way to a state that breaks an invariant. */
export interface Violation {
  readonly invariant: Invariant;
  /** Labels of the steps from the first state. */
  readonly trace: readonly string[];
}

/** What an exploration found. */
export interface ModelReport {
  readonly model: string;
  readonly states: number;
  readonly transitions: number;
  /** Steps on the shortest way to the farthest state. */
  readonly depth: number;
  readonly millis: number;
  /** True when every reachable state was visited. */
  readonly exhausted: boolean;
  readonly violation?: Violation;
}
