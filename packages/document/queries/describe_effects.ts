/** Describes the effects of a change on the configuration in plain language. */
import type {
  CustomerConfig,
  EventConfig,
  EventId,
  KindConfig,
  ServiceConfig,
  TeamConfig,
  Tokens,
} from "../../core/mod.ts";
import type { EntryChange } from "../commands/parse_change.ts";
import type { FleetIndex } from "../fleet_index.ts";
import { Container } from "../text/section_parts.ts";

/** State of an event's budget, used to describe a change of its limit. */
export interface BudgetFacts {
  /** Current limit, after all top-ups and lowerings. */
  readonly limit: Tokens;
  /** Tokens charged by closed grants. */
  readonly closed: Tokens;
  /** Tokens in open grants. */
  readonly granted: Tokens;
  /** Number of VMs that hold open grants. */
  readonly holders: number;
}

/** Number of lines after which the description of a change is truncated. */
const MAX_LINES = 200;

/** Returns the effects of a change, one per line; long lists are truncated. */
export function describeEffects(
  before: FleetIndex,
  after: FleetIndex,
  input: {
    readonly changes: readonly EntryChange[];
    readonly readBudget?: (event: EventId) => BudgetFacts | undefined;
  },
): readonly string[] {
  const { changes, readBudget = () => undefined } = input;
  const lines: string[] = [];
  for (const { container, key } of changes) {
    if (lines.length >= MAX_LINES) {
      lines.push(`and further effects, of ${changes.length} entries in all`);
      break;
    }
    lines.push(...describeEntry(container, key, { before, after, readBudget }));
  }
  return lines;
}

function describeEntry(
  container: Container,
  key: string,
  input: {
    readonly before: FleetIndex;
    readonly after: FleetIndex;
    readonly readBudget: (event: EventId) => BudgetFacts | undefined;
  },
): readonly string[] {
  const old = input.before[container].get(key);
  const now = input.after[container].get(key);
  const name = `${container.slice(0, -1)} ${key}`;
  if (old === undefined && now === undefined) return [];
  if (old === undefined) return [`adds ${name}`];
  if (now === undefined) return [`removes ${name}`];
  switch (container) {
    case Container.Events:
      return describeEvent(old as EventConfig, now as EventConfig, {
        name,
        facts: input.readBudget(key),
      });
    case Container.Customers:
      return describeCustomer(
        old as CustomerConfig,
        now as CustomerConfig,
        name,
      );
    case Container.Services:
      return describeService(old as ServiceConfig, now as ServiceConfig, name);
    case Container.Teams:
      return describeKeys(
        (old as TeamConfig).keyHashes,
        (now as TeamConfig).keyHashes,
        name,
      );
  }
}

function describeEvent(
  old: EventConfig,
  now: EventConfig,
  input: { readonly name: string; readonly facts: BudgetFacts | undefined },
): string[] {
  const { name } = input;
  return [
    ...describeBudget(old, now, input),
    ...describeValues(old, now, { name, keys: ["lean", "homes"] }),
    ...describeSets(old.customers, now.customers, `customers of ${name}`),
    ...describeSets(
      [...old.kinds.keys()],
      [...now.kinds.keys()],
      `kinds of ${name}`,
    ),
    ...[...now.kinds.values()].flatMap((kind) => {
      const known = old.kinds.get(kind.id);
      return known === undefined ? [] : describeKind(known, kind, name);
    }),
  ];
}

function describeBudget(
  old: EventConfig,
  now: EventConfig,
  input: { readonly name: string; readonly facts: BudgetFacts | undefined },
): string[] {
  const { name, facts } = input;
  if (old.budgetTokens === now.budgetTokens) return [];
  const verb = now.budgetTokens > old.budgetTokens ? "raises" : "lowers";
  const line =
    `${verb} the limit of ${name} from ${old.budgetTokens} to ${now.budgetTokens} tokens`;
  if (facts === undefined) return [line];
  const held = facts.closed + facts.granted;
  const started =
    `${line}; it has been drawn on, so its limit stays ${facts.limit} until a top-up or a lowering`;
  if (now.budgetTokens >= held) return [started];
  return [
    `${started}; the new limit is below the ${held} tokens that are spent or granted: ${facts.holders} VMs hold grants of ${facts.granted} tokens`,
  ];
}

function describeKind(old: KindConfig, now: KindConfig, event: string) {
  return describeValues(old, now, {
    name: `kind ${now.id} of ${event}`,
    keys: [
      "service",
      "priority",
      "repeatability",
      "maxOutputTokens",
      "flatTokens",
      "deadline",
      "whenStale",
    ],
  });
}

function describeCustomer(
  old: CustomerConfig,
  now: CustomerConfig,
  name: string,
): string[] {
  return [
    ...describeKeys(old.keyHashes, now.keyHashes, name),
    ...describeValues(old, now, { name, keys: ["weight"] }),
    ...describeValues(old.limits, now.limits, {
      name,
      keys: ["requestsPerSecond", "tokensPerSecond", "concurrentRequests"],
    }),
  ];
}

function describeService(
  old: ServiceConfig,
  now: ServiceConfig,
  name: string,
): string[] {
  const targets = describeSets(
    old.targets.map((target) => target.id),
    now.targets.map((target) => target.id),
    `targets of ${name}`,
  );
  const changed = now.targets.flatMap((target) => {
    const known = old.targets.find((each) => each.id === target.id);
    if (known === undefined) return [];
    return describeValues(known, target, {
      name: `target ${target.id}`,
      keys: ["url", "region", "dataCentre", "capacity"],
    });
  });
  const values = describeValues(old, now, {
    name,
    keys: [
      "type",
      "path",
      "model",
      "checksRequestKeys",
      "checksFencing",
      "longestOrder",
      "retryRatio",
      "progressTimeout",
    ],
  });
  return [...values, ...targets, ...changed];
}

function describeKeys(
  old: readonly string[],
  now: readonly string[],
  name: string,
): string[] {
  const added = now.filter((hash) => !old.includes(hash)).length;
  const removed = old.filter((hash) => !now.includes(hash)).length;
  return [
    ...(added > 0 ? [`adds ${added} keys of ${name}`] : []),
    ...(removed > 0 ? [`revokes ${removed} keys of ${name}`] : []),
    ...(now.length === 0 && removed > 0
      ? [`leaves ${name} without any key`]
      : []),
  ];
}

function describeSets(
  old: readonly string[],
  now: readonly string[],
  name: string,
): string[] {
  const added = now.filter((each) => !old.includes(each));
  const removed = old.filter((each) => !now.includes(each));
  return [
    ...(added.length > 0 ? [`adds to the ${name}: ${added.join(", ")}`] : []),
    ...(removed.length > 0
      ? [`removes from the ${name}: ${removed.join(", ")}`]
      : []),
  ];
}

function describeValues<Config>(
  old: Config,
  now: Config,
  input: { readonly name: string; readonly keys: readonly (keyof Config)[] },
): string[] {
  return input.keys
    .filter((key) => old[key] !== now[key])
    .map((key) =>
      `changes ${String(key)} of ${input.name} from ${
        String(old[key] ?? "none")
      } to ${String(now[key] ?? "none")}`
    );
}
