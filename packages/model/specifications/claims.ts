/**
 * Model of claims for a call that may not be repeated. Three attempts with the
 * same request key try to run it: two at VM A, of which the second may start at
 * any time, and one at VM B.
 *
 * Pauses need no steps of their own: a paused attempt is one that takes no
 * step. A crash ends every attempt in progress at its VM. The target may run a
 * call at any time after it was sent, or never.
 */
import type { Attempt, ClaimsState } from "./claims_state.ts";
import {
  changeAttempt,
  formatAttempt,
  Stage,
  TargetStatus,
} from "./claims_state.ts";
import type { ClaimEndStatus } from "./claim_value.ts";
import {
  ATTEMPTS,
  ClaimStatus,
  decideClaim,
  decideClaimEnd,
} from "./claim_value.ts";
import { Guard } from "../guard.ts";
import type { GuardCheck, Specification, Step } from "../specification.ts";
import { Invariant } from "../specification.ts";
import { applyWrite } from "../stored_row.ts";

/** Maximum number of crashes of both VMs together. */
const MAX_CRASHES = 2;

type ClaimsStep = Step<ClaimsState>;

/** Reads the row, decides the claim and sends its write. */
function sendClaim(
  state: ClaimsState,
  index: number,
  isOn: GuardCheck,
): ClaimsState {
  const { version, value } = state.row;
  const decision = decideClaim(value, index, isOn);
  switch (decision.kind) {
    case "write":
      return changeAttempt(state, index, {
        stage: Stage.Claiming,
        write: { base: version, value: decision.value },
      });
    case "taken":
      return changeAttempt(state, index, { stage: Stage.Claimed });
    case "ran":
      return changeAttempt(state, index, { stage: Stage.ToldRan });
    case "unknown":
      return changeAttempt(state, index, { stage: Stage.ToldUnknown });
    case "ended":
      return changeAttempt(state, index, { stage: Stage.ToldNotRun });
    case "held":
      return isOn(Guard.HeldClaimIsUnknown)
        ? changeAttempt(state, index, { stage: Stage.ToldUnknown })
        : changeAttempt(state, index, {
          stage: Stage.ToldNotRun,
          reliedOn: value.holder,
        });
  }
}

/**
 * Sends the claim again without checking whether its first write was applied.
 */
function sendClaimWithoutReadBack(
  state: ClaimsState,
  index: number,
): ClaimsState {
  const value = { status: ClaimStatus.Open, holder: index };
  const write = { base: state.row.version, value };
  return changeAttempt(state, index, { stage: Stage.Claiming, write });
}

type EndStage =
  | Stage.EndingAsRan
  | Stage.EndingAsNotRun
  | Stage.EndingAsUnknown;

const END_STATUSES: Readonly<Record<EndStage, ClaimEndStatus>> = {
  [Stage.EndingAsRan]: ClaimStatus.Ran,
  [Stage.EndingAsNotRun]: ClaimStatus.NotRun,
  [Stage.EndingAsUnknown]: ClaimStatus.Unknown,
};

/** Reads the row and sends the write that ends the claim. */
function endClaim(
  state: ClaimsState,
  index: number,
  stage: EndStage,
): ClaimsState {
  const status = END_STATUSES[stage];
  const { version, value } = state.row;
  const next = decideClaimEnd(value, index, status);
  if (next === undefined) {
    return changeAttempt(state, index, { stage: getStageAfterWrite(stage) });
  }
  return changeAttempt(state, index, {
    stage,
    write: { base: version, value: next },
  });
}

function getStageAfterWrite(stage: Stage): Stage {
  if (stage === Stage.EndingAsRan) return Stage.ToldRan;
  if (stage === Stage.EndingAsUnknown) return Stage.ToldUnknown;
  return stage === Stage.EndingAsNotRun ? Stage.ToldNotRun : Stage.Claimed;
}

function listAttemptSteps(
  state: ClaimsState,
  index: number,
  isOn: GuardCheck,
): ClaimsStep[] {
  const attempt = state.attempts[index]!;
  const name = ATTEMPTS[index]!.name;
  switch (attempt.stage) {
    case Stage.New:
      return listFirstSteps(state, index, isOn);
    case Stage.Claiming:
    case Stage.EndingAsRan:
    case Stage.EndingAsNotRun:
    case Stage.EndingAsUnknown:
      return listStoreSteps(state, index, isOn);
    case Stage.Claimed:
      return [
        { label: `${name} dispatch`, next: dispatchCall(state, index) },
        {
          label: `${name} connection refused`,
          next: endClaim(state, index, Stage.EndingAsNotRun),
        },
      ];
    case Stage.Dispatched: {
      const broken = isOn(Guard.BrokenCallIsUnknown)
        ? endClaim(state, index, Stage.EndingAsUnknown)
        : endClaim(state, index, Stage.EndingAsNotRun);
      const steps = [{ label: `${name} connection breaks`, next: broken }];
      if (attempt.target !== TargetStatus.Ran) return steps;
      const next = endClaim(state, index, Stage.EndingAsRan);
      return [...steps, { label: `${name} answer arrives`, next }];
    }
    default:
      return [];
  }
}

function dispatchCall(state: ClaimsState, index: number): ClaimsState {
  return changeAttempt(state, index, {
    stage: Stage.Dispatched,
    target: TargetStatus.Received,
  });
}

function listFirstSteps(
  state: ClaimsState,
  index: number,
  isOn: GuardCheck,
): ClaimsStep[] {
  const name = ATTEMPTS[index]!.name;
  const refused = changeAttempt(state, index, { stage: Stage.ToldNotRun });
  const steps = [
    { label: `${name} claim: sent`, next: sendClaim(state, index, isOn) },
    { label: `${name} store is unavailable: refused`, next: refused },
  ];
  if (isOn(Guard.ClaimBeforeDispatch)) return steps;
  const next = dispatchCall(state, index);
  return [...steps, { label: `${name} dispatch without a claim`, next }];
}

function listStoreSteps(
  state: ClaimsState,
  index: number,
  isOn: GuardCheck,
): ClaimsStep[] {
  const attempt = state.attempts[index]!;
  const name = ATTEMPTS[index]!.name;
  const operation = attempt.stage === Stage.Claiming ? "claim" : "claim's end";
  if (attempt.write === undefined) {
    return listRetries(state, index, isOn);
  }
  const waiting = { write: undefined };
  const checkVersion = isOn(Guard.VersionCheck);
  const row = applyWrite(state.row, attempt.write, { checkVersion });
  const unanswered = changeAttempt({ ...state, row }, index, waiting);
  const steps: ClaimsStep[] = [];
  if (row === state.row) {
    steps.push({ label: `${name} ${operation}: conflict`, next: unanswered });
  } else {
    const stage = getStageAfterWrite(attempt.stage);
    const next = changeAttempt(unanswered, index, { stage });
    steps.push({ label: `${name} ${operation}: committed`, next });
    steps.push({
      label: `${name} ${operation}: committed, answer lost`,
      next: unanswered,
    });
  }
  if (attempt.lateWrite === undefined) {
    const change = { write: undefined, lateWrite: attempt.write };
    const next = changeAttempt(state, index, change);
    steps.push({
      label: `${name} ${operation}: abandoned before it was applied`,
      next,
    });
  }
  return steps;
}

/**
 * After a lost answer: sends the write again, or answers the caller without it.
 */
function listRetries(
  state: ClaimsState,
  index: number,
  isOn: GuardCheck,
): ClaimsStep[] {
  const { stage } = state.attempts[index]!;
  const name = ATTEMPTS[index]!.name;
  if (stage === Stage.Claiming) {
    const next = isOn(Guard.ReadBackBeforeRetry)
      ? sendClaim(state, index, isOn)
      : sendClaimWithoutReadBack(state, index);
    const refused = endClaim(state, index, Stage.EndingAsNotRun);
    return [
      { label: `${name} claim: sent again`, next },
      { label: `${name} claim: no answer, refused`, next: refused },
    ];
  }
  const end = stage as EndStage;
  const again = endClaim(state, index, end);
  const answered = changeAttempt(state, index, {
    stage: getStageAfterWrite(end),
  });
  return [
    { label: `${name} claim's end: sent again`, next: again },
    {
      label: `${name} claim's end: left open, caller answered`,
      next: answered,
    },
  ];
}

function listFaults(
  state: ClaimsState,
  index: number,
  isOn: GuardCheck,
): ClaimsStep[] {
  const attempt = state.attempts[index]!;
  const name = ATTEMPTS[index]!.name;
  const steps: ClaimsStep[] = [];
  if (attempt.target === TargetStatus.Received) {
    const next = changeAttempt(state, index, { target: TargetStatus.Ran });
    steps.push({ label: `target runs ${name}`, next });
  }
  if (attempt.lateWrite !== undefined) {
    const checkVersion = isOn(Guard.VersionCheck);
    const row = applyWrite(state.row, attempt.lateWrite, { checkVersion });
    const cleared = changeAttempt(state, index, { lateWrite: undefined });
    steps.push({
      label: `${name} late write is applied`,
      next: { ...cleared, row },
    });
  }
  return steps;
}

/**
 * Crashes a VM; its attempts in progress are lost, their writes may be late.
 */
function crashVm(state: ClaimsState, vm: number): ClaimsState {
  const attempts = state.attempts.map((attempt, index) => {
    const lost = ATTEMPTS[index]!.vm === vm && isInProgress(attempt);
    if (!lost) return attempt;
    const { write, ...rest } = attempt;
    const lateWrite = write ?? attempt.lateWrite;
    return {
      ...rest,
      stage: Stage.Crashed,
      ...(lateWrite === undefined ? {} : { lateWrite }),
    };
  });
  return { ...state, attempts, crashes: state.crashes + 1 };
}

function isInProgress(attempt: Attempt): boolean {
  return [
    Stage.Claiming,
    Stage.Claimed,
    Stage.Dispatched,
    Stage.EndingAsRan,
    Stage.EndingAsNotRun,
    Stage.EndingAsUnknown,
  ].includes(attempt.stage);
}

function listCrashes(state: ClaimsState): ClaimsStep[] {
  if (state.crashes >= MAX_CRASHES) return [];
  return [0, 1].map((vm) => ({
    label: `${vm === 0 ? "A" : "B"} crash`,
    next: crashVm(state, vm),
  }));
}

/**
 * Removes late writes that can no longer be applied: row versions only
 * increase, so a write that was decided from an older version is always
 * refused. This reduces the number of states.
 */
function dropStaleWrites(state: ClaimsState): ClaimsState {
  const { version } = state.row;
  const attempts = state.attempts.map((attempt) => {
    if (attempt.lateWrite === undefined || attempt.lateWrite.base === version) {
      return attempt;
    }
    const { lateWrite: _late, ...rest } = attempt;
    return rest;
  });
  return { ...state, attempts };
}

function listClaimsSteps(state: ClaimsState, isOn: GuardCheck): ClaimsStep[] {
  const steps = [
    ...ATTEMPTS.flatMap((_attempt, index) => [
      ...listAttemptSteps(state, index, isOn),
      ...listFaults(state, index, isOn),
    ]),
    ...listCrashes(state),
  ];
  if (!isOn(Guard.VersionCheck)) return steps;
  return steps.map(({ label, next }) => ({
    label,
    next: dropStaleWrites(next),
  }));
}

/** Returns whether a call that was reported as not run has run. */
function hasFalseNotRun(state: ClaimsState): boolean {
  return state.attempts.some((attempt) => {
    if (attempt.stage !== Stage.ToldNotRun) return false;
    if (attempt.target === TargetStatus.Ran) return true;
    const other = state.attempts[attempt.reliedOn ?? -1];
    return other?.target === TargetStatus.Ran;
  });
}

function findViolation(state: ClaimsState): Invariant | undefined {
  const runs = state.attempts
    .filter((attempt) => attempt.target === TargetStatus.Ran);
  if (runs.length > 1) return Invariant.RunsAtMostOnce;
  return hasFalseNotRun(state) ? Invariant.ToldNotRunWasNotRun : undefined;
}

/** Model of claims, retries and the answers to callers. */
export const CLAIMS: Specification<ClaimsState> = {
  name: "claims",
  scope:
    "1 call under 1 key; 2 attempts at VM A and 1 at VM B; 2 crashes; 1 late write per attempt",
  guards: [
    Guard.VersionCheck,
    Guard.ReadBackBeforeRetry,
    Guard.ClaimBeforeDispatch,
    Guard.ClaimNeverChangesHolder,
    Guard.ClaimNamesAttempt,
    Guard.FinishedClaimStays,
    Guard.HeldClaimIsUnknown,
    Guard.BrokenCallIsUnknown,
  ],
  invariants: [Invariant.RunsAtMostOnce, Invariant.ToldNotRunWasNotRun],
  createInitial: () => ({
    row: { version: 0, value: { status: ClaimStatus.Free, holder: -1 } },
    attempts: ATTEMPTS.map(() => ({
      stage: Stage.New,
      target: TargetStatus.Nothing,
    })),
    crashes: 0,
  }),
  listSteps: listClaimsSteps,
  findViolation,
  formatState: (state) => {
    const { version, value } = state.row;
    const attempts = state.attempts.map(formatAttempt).join(";");
    return `${version}${value.status}${value.holder}|${attempts}|${state.crashes}`;
  },
};
