/**
 * Declarations of the part of `xstate/graph` that the model checker uses. The
 * package's own declarations do not compile with `exactOptionalPropertyTypes`.
 */

/** A transition function with its initial state. */
export interface TransitionLogic<State, Event> {
  transition(state: State, event: Event): State;
  getInitialSnapshot(): State;
}

/** Keys of states and events, the events of each state, and where to stop. */
export interface TraversalOptions<State, Event> {
  serializeState(state: State): string;
  serializeEvent(event: Event): string;
  events(state: State): readonly Event[];
  /** Returns true for a state whose successors are not to be explored. */
  stopWhen(state: State): boolean;
}

/** Visited states by their serialised key, with their outgoing transitions. */
export interface AdjacencyMap<State, Event> {
  readonly [state: string]: {
    readonly state: State;
    readonly transitions: {
      readonly [event: string]: {
        readonly event: Event;
        readonly state: State;
      };
    };
  };
}

/** Visits every reachable state in breadth-first order. */
export declare function getAdjacencyMap<State, Event>(
  logic: TransitionLogic<State, Event>,
  options: TraversalOptions<State, Event>,
): AdjacencyMap<State, Event>;
