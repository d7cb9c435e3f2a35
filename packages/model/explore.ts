/**
 * Explores a specification breadth-first with xstate's `getAdjacencyMap`, so
 * that the first violation found has a shortest trace.
 */
import type { TransitionLogic } from "xstate/graph";
import { getAdjacencyMap } from "xstate/graph";
import type {
  ExploreOptions,
  GuardCheck,
  Invariant,
  Model,
  ModelReport,
  Specification,
  Step,
} from "./specification.ts";

/**
 * Number of states that one call of `getAdjacencyMap` visits. Its queue is an
 * array from which the first element is shifted, which is slow for large
 * arrays.
 */
const BATCH_STATES = 2_048;

/** A state that was reached, with the step by which it was reached first. */
interface Node<State> {
  readonly state: State;
  readonly key: string;
  readonly depth: number;
  readonly parent?: Node<State>;
  readonly label?: string;
}

interface NodeEvent<State> {
  readonly type: string;
  readonly node: Node<State>;
}

/** Returns a model that explores a specification and hides its state type. */
export function createModel<State>(specification: Specification<State>): Model {
  const { name, scope, guards, invariants } = specification;
  return {
    name,
    scope,
    guards,
    invariants,
    explore: (options) => new Exploration(specification, options).run(),
  };
}

/** One exploration of the states of a specification. */
class Exploration<State> {
  readonly #specification: Specification<State>;
  readonly #options: ExploreOptions;
  readonly #isOn: GuardCheck;
  readonly #seen = new Set<string>();
  #transitions = 0;
  #visited = 0;
  #depth = 0;
  #isLimitReached = false;
  #found: { invariant: Invariant; node: Node<State> } | undefined;

  constructor(specification: Specification<State>, options: ExploreOptions) {
    this.#specification = specification;
    this.#options = options;
    this.#isOn = (guard) => guard !== options.breakGuard;
  }

  run(): ModelReport {
    const start = this.#options.readTime();
    const first = this.#createNode({
      label: "start",
      next: this.#specification.createInitial(),
    });
    this.#seen.add(first.key);
    this.#visit(first);
    const millis = this.#options.readTime() - start;
    const violation = this.#describeViolation();
    return {
      model: this.#specification.name,
      states: this.#visited,
      transitions: this.#transitions,
      depth: this.#depth,
      millis,
      exhausted: !this.#isLimitReached && violation === undefined,
      ...(violation === undefined ? {} : { violation }),
    };
  }

  /** Visits the states layer by layer; those of a layer have the same depth. */
  #visit(first: Node<State>): void {
    let layer: readonly Node<State>[] = [first];
    while (layer.length > 0 && !this.#isEnded()) {
      const next: Node<State>[] = [];
      for (let start = 0; start < layer.length; start += BATCH_STATES) {
        this.#visitBatch(layer.slice(start, start + BATCH_STATES), next);
      }
      layer = next;
    }
  }

  /**
   * Visits some states of one layer and adds their new successors to the next
   * layer. `getAdjacencyMap` starts from one state, so an artificial root with
   * an event for each state of the batch precedes them.
   */
  #visitBatch(
    batch: readonly Node<State>[],
    nextLayer: Node<State>[],
  ): void {
    const first = batch[0]!;
    const root = { ...first, key: "root", depth: first.depth - 1 };
    getAdjacencyMap(createTransitionLogic(root), {
      serializeState: (node) => node.key,
      serializeEvent: (event) => event.type,
      events: (node) =>
        node === root ? listRootEvents(batch) : this.#listNewEvents(node),
      stopWhen: (node) => {
        if (node.depth <= first.depth) {
          return node !== root && this.#visitState(node);
        }
        nextLayer.push(node);
        return true;
      },
    });
  }

  /** Returns whether a violation was found or the state limit was reached. */
  #isEnded(): boolean {
    return this.#found !== undefined || this.#isLimitReached;
  }

  /** Counts and checks a state; returns whether the exploration ends here. */
  #visitState(node: Node<State>): boolean {
    if (this.#isEnded()) return true;
    if (this.#visited >= this.#options.maxStates) {
      this.#isLimitReached = true;
      return true;
    }
    this.#visited++;
    this.#depth = Math.max(this.#depth, node.depth);
    const invariant = this.#specification.findViolation(node.state);
    if (invariant !== undefined) this.#found = { invariant, node };
    return this.#found !== undefined;
  }

  /** Lists the steps to states that were not reached before. */
  #listNewEvents(node: Node<State>): NodeEvent<State>[] {
    const steps = this.#specification.listSteps(node.state, this.#isOn);
    this.#transitions += steps.length;
    const events: NodeEvent<State>[] = [];
    for (const step of steps) {
      const next = this.#createNode(step, node);
      if (this.#seen.has(next.key)) continue;
      this.#seen.add(next.key);
      events.push({ type: step.label, node: next });
    }
    return events;
  }

  #createNode(step: Step<State>, parent?: Node<State>): Node<State> {
    return {
      state: step.next,
      key: `s${this.#specification.formatState(step.next)}`,
      depth: parent === undefined ? 0 : parent.depth + 1,
      label: step.label,
      ...(parent === undefined ? {} : { parent }),
    };
  }

  #describeViolation(): ModelReport["violation"] {
    if (this.#found === undefined) return undefined;
    const trace: string[] = [];
    let node: Node<State> | undefined = this.#found.node;
    while (node?.parent !== undefined) {
      trace.unshift(node.label ?? "");
      node = node.parent;
    }
    return { invariant: this.#found.invariant, trace };
  }
}

function listRootEvents<State>(
  batch: readonly Node<State>[],
): NodeEvent<State>[] {
  return batch.map((node) => ({ type: node.key, node }));
}

function createTransitionLogic<State>(
  first: Node<State>,
): TransitionLogic<Node<State>, NodeEvent<State>> {
  return {
    transition: (_node, event) => event.node,
    getInitialSnapshot: () => first,
  };
}
