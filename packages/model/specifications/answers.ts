/**
 * Model of how answers are matched to requests. Two requests use one connection
 * to a target one after the other, and a third one reuses the request key of the
 * first with another body. An answer may arrive after its request was abandoned.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck, Specification, Step } from "../specification.ts";
import { Invariant } from "../specification.ts";

/** The requests; those with the same request key share a kept answer. */
const REQUESTS = [
  { name: "r1", key: 0 },
  { name: "r2", key: 1 },
  { name: "r3, key of r1 and another body,", key: 0 },
] as const;

/** Stands for no request where a request's index is expected. */
const NONE = -1;

enum Stage {
  New = "0",
  Waiting = "w",
  GivenUp = "g",
  Answered = "a",
  Refused = "r",
}

interface Request {
  readonly stage: Stage;
  /** Index of the request whose answer the caller received. */
  readonly answer: number;
}

/** A state of the specification. */
export interface AnswersState {
  readonly requests: readonly Request[];
  /** Requests sent on the connection whose answers are outstanding, in order. */
  readonly connection: readonly number[];
  /** Request that waits for an answer, or {@link NONE}. */
  readonly waiting: number;
  /** For each request key, the request whose answer is kept. */
  readonly kept: readonly number[];
}

type AnswersStep = Step<AnswersState>;

function changeRequest(
  state: AnswersState,
  index: number,
  change: Partial<Request>,
): AnswersState {
  const requests = state.requests.map((request, each) =>
    each === index ? { ...request, ...change } : request
  );
  return { ...state, requests };
}

function listStarts(
  state: AnswersState,
  index: number,
  isOn: GuardCheck,
): AnswersStep[] {
  const { name, key } = REQUESTS[index]!;
  if (state.requests[index]!.stage !== Stage.New) return [];
  const kept = state.kept[key] ?? NONE;
  if (kept !== NONE) {
    const change = isOn(Guard.KeyNamesBody)
      ? { stage: Stage.Refused }
      : { stage: Stage.Answered, answer: kept };
    const next = changeRequest(state, index, change);
    return [{ label: `${name} finds a kept answer`, next }];
  }
  if (state.waiting !== NONE) return [];
  const sent = changeRequest(state, index, { stage: Stage.Waiting });
  const connection = [...state.connection, index];
  const next = { ...sent, connection, waiting: index };
  return [{ label: `${name} sent`, next }];
}

/** The waiting request is abandoned; the guard closes its connection as well. */
function listGiveUps(state: AnswersState, isOn: GuardCheck): AnswersStep[] {
  if (state.waiting === NONE) return [];
  const given = changeRequest(state, state.waiting, { stage: Stage.GivenUp });
  const closes = isOn(Guard.GivenUpConnectionClosed);
  const connection = closes ? [] : state.connection;
  const label = `${REQUESTS[state.waiting]!.name} abandoned`;
  return [{ label, next: { ...given, connection, waiting: NONE } }];
}

function listArrivals(state: AnswersState): AnswersStep[] {
  const [answered, ...connection] = state.connection;
  if (answered === undefined) return [];
  const label = `answer of ${REQUESTS[answered]!.name} arrives`;
  const rest = { ...state, connection };
  if (state.waiting === NONE) return [{ label, next: rest }];
  const { key } = REQUESTS[state.waiting]!;
  const change = { stage: Stage.Answered, answer: answered };
  const given = changeRequest(rest, state.waiting, change);
  const kept = state.kept.map((each, index) => index === key ? answered : each);
  return [{ label, next: { ...given, kept, waiting: NONE } }];
}

/** Model of matching answers to their requests. */
export const ANSWERS: Specification<AnswersState> = {
  name: "answers",
  scope: "3 requests, 2 of them under one key, over 1 pooled connection",
  guards: [Guard.GivenUpConnectionClosed, Guard.KeyNamesBody],
  invariants: [Invariant.OwnWholeAnswer],
  createInitial: () => ({
    requests: REQUESTS.map(() => ({ stage: Stage.New, answer: NONE })),
    connection: [],
    waiting: NONE,
    kept: [NONE, NONE],
  }),
  listSteps: (state, isOn) => [
    ...REQUESTS.flatMap((_request, index) => listStarts(state, index, isOn)),
    ...listGiveUps(state, isOn),
    ...listArrivals(state),
  ],
  findViolation: (state) => {
    const own = state.requests.every((request, index) =>
      request.stage !== Stage.Answered || request.answer === index
    );
    return own ? undefined : Invariant.OwnWholeAnswer;
  },
  formatState: (state) => {
    const requests = state.requests
      .map((request) => `${request.stage}${request.answer}`).join("");
    return `${requests}|${state.connection}|${state.waiting}|${state.kept}`;
  },
};
