/**
 * The part of `xstate/graph` that the specification uses. The package's own
 * declarations do not pass `exactOptionalPropertyTypes`.
 */

/** A transition function with its first state. */
export interface TransitionLogic<State, Event> {
  transition(state: State, event: Event): State;
  getInitialSnapshot(): State;
}

/** How states are told apart and which events each has. */
export interface TraversalOptions<State, Event> {
  serializeState(state: State): string;
  serializeEvent(event: Event): string;
  events(state: State): readonly Event[];
  /** True for a state beyond which nothing is explored. */
  stopWhen(state: State): boolean;
}

/** Visited states by their text, with the transitions that leave them. */
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

/** Visits every reachable state, breadth-first. */
export declare function getAdjacencyMap<State, Event>(
  logic: TransitionLogic<State, Event>,
  options: TraversalOptions<State, Event>,
): AdjacencyMap<State, Event>;
