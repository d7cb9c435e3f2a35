/**
 * Replay inputs for attempts, chunks of streams and retries (packages/routing).
 */
import { z } from "zod";
import { Repeatability } from "../../core/mod.ts";
import { AttemptEnd } from "../../ports/mod.ts";
import {
  AnswerAssembler,
  decideRetry,
  RetryAction,
} from "../../routing/mod.ts";
import type { RetryDecision } from "../../routing/mod.ts";
import type { InputTable } from "../replay_input.ts";
import { COUNT_SCHEMA, createInput, NAME_SCHEMA } from "../replay_input.ts";

/**
 * Random number for every back-off of a replay, so that it is deterministic.
 */
const RANDOM_NUMBER = 0.5;

const REQUEST_FIELDS = { vm: NAME_SCHEMA, request: NAME_SCHEMA };

/**
 * Starts an attempt of a request. The `bound` of the first attempt is the
 * number of reserved tokens; that of later attempts is ignored.
 */
const attempt = createInput(
  { ...REQUEST_FIELDS, bound: COUNT_SCHEMA, resumeAt: COUNT_SCHEMA.optional() },
  ({ vm, request, bound, resumeAt }, { fleet }) => {
    const { answers } = fleet.getVm(vm);
    const answer = answers.get(request) ??
      new AnswerAssembler({ tokenBound: bound });
    answers.set(request, answer);
    const options = resumeAt === undefined ? {} : { resumeAt };
    return { attempt: answer.startAttempt(options) ?? null };
  },
);

/** Receives a chunk of an attempt; returns the action and the new position. */
const chunk = createInput(
  {
    ...REQUEST_FIELDS,
    attempt: COUNT_SCHEMA,
    position: COUNT_SCHEMA,
    tokens: COUNT_SCHEMA,
  },
  ({ vm, request, attempt, position, tokens }, { fleet }) => {
    const answer = fleet.getVm(vm).answers.get(request);
    if (answer === undefined) {
      throw new Error(
        `Request ${request} has no attempt on ${vm}. Use stream/attempt first.`,
      );
    }
    const action = answer.receive(attempt, { position, tokens, data: "" });
    return { action, position: answer.readProgress().position };
  },
);

/** Decides whether a failed attempt is retried. */
const retry = createInput(
  {
    vm: NAME_SCHEMA,
    repeatability: z.enum(Repeatability),
    end: z.enum(AttemptEnd),
    lost: z.boolean().default(false),
    mayHaveRun: z.boolean().default(false),
    attempts: COUNT_SCHEMA,
    passedOn: COUNT_SCHEMA.default(0),
    resumable: z.boolean().default(false),
    quarantined: z.boolean().default(false),
    deadline: COUNT_SCHEMA,
  },
  ({ vm, ...failed }, { fleet, now }) => {
    const { retries } = fleet.getVm(vm);
    const decision = decideRetry(
      { service: "service", replacements: 0, ...failed },
      { budgets: retries, now, random: () => RANDOM_NUMBER },
    );
    return describeRetry(decision);
  },
);

function describeRetry(decision: RetryDecision): unknown {
  switch (decision.action) {
    case RetryAction.Retry: {
      const { action, extra, resumeAt } = decision;
      return resumeAt === undefined
        ? { action, extra }
        : { action, extra, resumeAt };
    }
    case RetryAction.Wait:
      return { action: decision.action };
    case RetryAction.GiveUp:
      return { action: decision.action, outcome: decision.outcome };
  }
}

/** Inputs for attempts, chunks and retries. */
export const STREAM_INPUTS: InputTable = {
  "stream/attempt": attempt,
  "stream/chunk": chunk,
  "stream/retry": retry,
};
