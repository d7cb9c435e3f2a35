/**
 * Model of how answers are matched to requests. Two requests use one connection
 * to a target one after the other, and a third one reuses the request key of
 * the first with another body. An answer may arrive after its request was
 * abandoned.
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
  Abandoned = "g",
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
  /**
   * Requests sent on the connection whose answers are outstanding, in order.
   */
  readonly connection: readonly number[];
  /** Request that waits for an answer, or {@link NONE}. */
  readonly waitingRequest: number;
  /** For each request key, the request whose answer is kept. */
  readonly keptAnswers: readonly number[];
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
  const kept = state.keptAnswers[key] ?? NONE;
  if (kept !== NONE) {
    const change = isOn(Guard.KeyNamesBody)
      ? { stage: Stage.Refused }
      : { stage: Stage.Answered, answer: kept };
    const next = changeRequest(state, index, change);
    return [{ label: `${name} finds a kept answer`, next }];
  }
  if (state.waitingRequest !== NONE) return [];
  const sent = changeRequest(state, index, { stage: Stage.Waiting });
  const connection = [...state.connection, index];
  const next = { ...sent, connection, waitingRequest: index };
  return [{ label: `${name} sent`, next }];
}

/**
 * The waiting request is abandoned; the guard closes its connection as well.
 */
function listAbandons(state: AnswersState, isOn: GuardCheck): AnswersStep[] {
  if (state.waitingRequest === NONE) return [];
  const abandoned = changeRequest(state, state.waitingRequest, {
    stage: Stage.Abandoned,
  });
  const closesConnection = isOn(Guard.GivenUpConnectionClosed);
  const connection = closesConnection ? [] : state.connection;
  const label = `${REQUESTS[state.waitingRequest]!.name} abandoned`;
  return [{ label, next: { ...abandoned, connection, waitingRequest: NONE } }];
}

function listArrivals(state: AnswersState): AnswersStep[] {
  const [answered, ...connection] = state.connection;
  if (answered === undefined) return [];
  const label = `answer of ${REQUESTS[answered]!.name} arrives`;
  const rest = { ...state, connection };
  if (state.waitingRequest === NONE) return [{ label, next: rest }];
  const { key } = REQUESTS[state.waitingRequest]!;
  const change = { stage: Stage.Answered, answer: answered };
  const delivered = changeRequest(rest, state.waitingRequest, change);
  const keptAnswers = state.keptAnswers.map((each, index) =>
    index === key ? answered : each
  );
  return [{ label, next: { ...delivered, keptAnswers, waitingRequest: NONE } }];
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
    waitingRequest: NONE,
    keptAnswers: [NONE, NONE],
  }),
  listSteps: (state, isOn) => [
    ...REQUESTS.flatMap((_request, index) => listStarts(state, index, isOn)),
    ...listAbandons(state, isOn),
    ...listArrivals(state),
  ],
  findViolation: (state) => {
    const areOwn = state.requests.every((request, index) =>
      request.stage !== Stage.Answered || request.answer === index
    );
    return areOwn ? undefined : Invariant.OwnWholeAnswer;
  },
  formatState: (state) => {
    const requests = state.requests
      .map((request) => `${request.stage}${request.answer}`).join("");
    return `${requests}|${state.connection}|${state.waitingRequest}|${state.keptAnswers}`;
  },
};
