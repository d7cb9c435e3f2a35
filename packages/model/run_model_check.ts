/** Explores the models with all guards on or with one guard switched off. */
import { Guard, GUARD_RULES } from "./guard.ts";
import { createModel } from "./explore.ts";
import type { Model, ModelReport } from "./specification.ts";
import { ANSWERS } from "./specifications/answers.ts";
import { BILLS } from "./specifications/bills.ts";
import { CLAIMS } from "./specifications/claims.ts";
import { DOCUMENTS } from "./specifications/documents.ts";
import { GRANTS, TOP_UPS } from "./specifications/grants.ts";
import { LEASES } from "./specifications/leases.ts";
import { LOAN_PARTS } from "./specifications/loan_parts.ts";
import { LOANS } from "./specifications/loans.ts";
import { STANDBY } from "./specifications/standby.ts";

/** Default number of states after which the exploration of a model stops. */
export const DEFAULT_MAX_STATES = 2_000_000;

/** A guard with its rule and the names of the models that use it. */
export interface GuardEntry {
  readonly guard: Guard;
  readonly rule: string;
  readonly models: readonly string[];
}

/** Options of {@link runModelCheck}. */
export interface ModelCheckOptions {
  /** Guard to switch off; only the models that use it are explored. */
  readonly breakGuard?: Guard;
  readonly maxStates?: number;
}

const MODELS: readonly Model[] = [
  createModel(GRANTS),
  createModel(TOP_UPS),
  createModel(LOANS),
  createModel(LOAN_PARTS),
  createModel(CLAIMS),
  createModel(BILLS),
  createModel(ANSWERS),
  createModel(LEASES),
  createModel(DOCUMENTS),
  createModel(STANDBY),
];

/** Returns every model. */
export function listModels(): readonly Model[] {
  return MODELS;
}

/** Returns every guard that a model uses, with its rule. */
export function listGuards(): readonly GuardEntry[] {
  return Object.values(Guard).map((guard) => ({
    guard,
    rule: GUARD_RULES[guard],
    models: MODELS.filter((model) => model.guards.includes(guard))
      .map((model) => model.name),
  })).filter((entry) => entry.models.length > 0);
}

/** Returns the guard with the given command-line name, if there is one. */
export function findGuard(name: string): Guard | undefined {
  return listGuards().find((entry) => entry.guard === name)?.guard;
}

/** Explores the models and returns one report per model. */
export function runModelCheck(
  options: ModelCheckOptions = {},
): readonly ModelReport[] {
  const { breakGuard, maxStates = DEFAULT_MAX_STATES } = options;
  const models = MODELS.filter((model) =>
    breakGuard === undefined || model.guards.includes(breakGuard)
  );
  return models.map((model) =>
    model.explore({
      maxStates,
      readTime: () => performance.now(),
      ...(breakGuard === undefined ? {} : { breakGuard }),
    })
  );
}
