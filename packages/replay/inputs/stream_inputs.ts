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
import { COUNT, createInput, NAME } from "../replay_input.ts";

/**
 * Random number for every back-off of a replay, so that it is deterministic.
 */
const DRAW = 0.5;

const REQUEST = { vm: NAME, request: NAME };

/**
 * Starts an attempt of a request. The `bound` of the first attempt is the
 * number of reserved tokens; that of later attempts is ignored.
 */
const attempt = createInput(
  { ...REQUEST, bound: COUNT, resumeAt: COUNT.optional() },
  ({ vm, request, bound, resumeAt }, { fleet }) => {
    const { answers } = fleet.getVm(vm);
    const answer = answers.get(request) ??
      new AnswerAssembler({ tokenBound: bound });
    answers.set(request, answer);
    const options = resumeAt === undefined ? {} : { resumeAt };
    return { attempt: answer.startAttempt(options) ?? null };
  },
);

const chunk = createInput(
  { ...REQUEST, attempt: COUNT, position: COUNT, tokens: COUNT },
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

const retry = createInput(
  {
    vm: NAME,
    repeatability: z.enum(Repeatability),
    end: z.enum(AttemptEnd),
    lost: z.boolean().default(false),
    mayHaveRun: z.boolean().default(false),
    attempts: COUNT,
    passedOn: COUNT.default(0),
    resumable: z.boolean().default(false),
    quarantined: z.boolean().default(false),
    deadline: COUNT,
  },
  ({ vm, ...failed }, { fleet, now }) => {
    const { retries } = fleet.getVm(vm);
    const decision = decideRetry(
      { service: "service", replacements: 0, ...failed },
      { budgets: retries, now, random: () => DRAW },
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
