/** Explores every model, whole or with one guard switched off. */
import { Guard, GUARD_RULES } from "./guard.ts";
import { createModel } from "./explore.ts";
import type { Model, ModelReport } from "./specification.ts";
import { ANSWERS } from "./specifications/answers.ts";
import { BILLS } from "./specifications/bills.ts";
import { CLAIMS } from "./specifications/claims.ts";
import { DOCUMENTS } from "./specifications/documents.ts";
import { GRANTS, TOP_UPS } from "./specifications/grants.ts";
import { LEASES } from "./specifications/leases.ts";
import { LOANS } from "./specifications/loans.ts";
import { STANDBY } from "./specifications/standby.ts";

/** States after which the exploration of one model gives up. */
export const DEFAULT_MAX_STATES = 2_000_000;

/** One guard and the models that have it. */
export interface GuardEntry {
  readonly guard: Guard;
  readonly rule: string;
  readonly models: readonly string[];
}

/** What to explore. */
export interface ModelCheckOptions {
  /** Explore only the models that have this guard, with it switched off. */
  readonly breakGuard?: Guard;
  readonly maxStates?: number;
}

const MODELS: readonly Model[] = [
  createModel(GRANTS),
  createModel(TOP_UPS),
  createModel(LOANS),
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

/** Returns every guard with its rule. */
export function listGuards(): readonly GuardEntry[] {
  return Object.values(Guard).map((guard) => ({
    guard,
    rule: GUARD_RULES[guard],
    models: MODELS.filter((model) => model.guards.includes(guard))
      .map((model) => model.name),
  })).filter((entry) => entry.models.length > 0);
}

/** Returns the guard of a name. */
export function findGuard(name: string): Guard | undefined {
  return listGuards().find((entry) => entry.guard === name)?.guard;
}

/** Explores the models and returns a report for each. */
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
