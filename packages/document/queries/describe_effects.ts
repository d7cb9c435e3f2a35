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
  const previous = input.before[container].get(key);
  const current = input.after[container].get(key);
  const name = `${container.slice(0, -1)} ${key}`;
  if (previous === undefined && current === undefined) return [];
  if (previous === undefined) return [`adds ${name}`];
  if (current === undefined) return [`removes ${name}`];
  switch (container) {
    case Container.Events:
      return describeEvent(previous as EventConfig, current as EventConfig, {
        name,
        facts: input.readBudget(key),
      });
    case Container.Customers:
      return describeCustomer(
        previous as CustomerConfig,
        current as CustomerConfig,
        name,
      );
    case Container.Services:
      return describeService(
        previous as ServiceConfig,
        current as ServiceConfig,
        name,
      );
    case Container.Teams:
      return describeKeys(
        (previous as TeamConfig).keyHashes,
        (current as TeamConfig).keyHashes,
        name,
      );
  }
}

function describeEvent(
  previous: EventConfig,
  current: EventConfig,
  input: { readonly name: string; readonly facts: BudgetFacts | undefined },
): string[] {
  const { name } = input;
  return [
    ...describeBudget(previous, current, input),
    ...describeValues(previous, current, { name, keys: ["lean", "homes"] }),
    ...describeSets(
      previous.customers,
      current.customers,
      `customers of ${name}`,
    ),
    ...describeSets(
      [...previous.kinds.keys()],
      [...current.kinds.keys()],
      `kinds of ${name}`,
    ),
    ...[...current.kinds.values()].flatMap((kind) => {
      const known = previous.kinds.get(kind.id);
      return known === undefined ? [] : describeKind(known, kind, name);
    }),
  ];
}

function describeBudget(
  previous: EventConfig,
  current: EventConfig,
  input: { readonly name: string; readonly facts: BudgetFacts | undefined },
): string[] {
  const { name, facts } = input;
  if (previous.budgetTokens === current.budgetTokens) return [];
  const verb = current.budgetTokens > previous.budgetTokens
    ? "raises"
    : "lowers";
  const line =
    `${verb} the limit of ${name} from ${previous.budgetTokens} to ${current.budgetTokens} tokens`;
  if (facts === undefined) return [line];
  const usedTokens = facts.closed + facts.granted;
  const lineOnceSpent =
    `${line}; it has been drawn on, so its limit stays ${facts.limit} until a top-up or a lowering`;
  if (current.budgetTokens >= usedTokens) return [lineOnceSpent];
  return [
    `${lineOnceSpent}; the new limit is below the ${usedTokens} tokens that are spent or granted: ${facts.holders} VMs hold grants of ${facts.granted} tokens`,
  ];
}

function describeKind(
  previous: KindConfig,
  current: KindConfig,
  event: string,
) {
  return describeValues(previous, current, {
    name: `kind ${current.id} of ${event}`,
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
  previous: CustomerConfig,
  current: CustomerConfig,
  name: string,
): string[] {
  return [
    ...describeKeys(previous.keyHashes, current.keyHashes, name),
    ...describeValues(previous, current, { name, keys: ["weight"] }),
    ...describeValues(previous.limits, current.limits, {
      name,
      keys: ["requestsPerSecond", "tokensPerSecond", "concurrentRequests"],
    }),
  ];
}

function describeService(
  previous: ServiceConfig,
  current: ServiceConfig,
  name: string,
): string[] {
  const targets = describeSets(
    previous.targets.map((target) => target.id),
    current.targets.map((target) => target.id),
    `targets of ${name}`,
  );
  const changed = current.targets.flatMap((target) => {
    const known = previous.targets.find((each) => each.id === target.id);
    if (known === undefined) return [];
    return describeValues(known, target, {
      name: `target ${target.id}`,
      keys: ["url", "region", "dataCentre", "capacity"],
    });
  });
  const values = describeValues(previous, current, {
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
  previous: readonly string[],
  current: readonly string[],
  name: string,
): string[] {
  const added = current.filter((hash) => !previous.includes(hash)).length;
  const removed = previous.filter((hash) => !current.includes(hash)).length;
  return [
    ...(added > 0 ? [`adds ${added} keys of ${name}`] : []),
    ...(removed > 0 ? [`revokes ${removed} keys of ${name}`] : []),
    ...(current.length === 0 && removed > 0
      ? [`leaves ${name} without any key`]
      : []),
  ];
}

function describeSets(
  previous: readonly string[],
  current: readonly string[],
  name: string,
): string[] {
  const added = current.filter((each) => !previous.includes(each));
  const removed = previous.filter((each) => !current.includes(each));
  return [
    ...(added.length > 0 ? [`adds to the ${name}: ${added.join(", ")}`] : []),
    ...(removed.length > 0
      ? [`removes from the ${name}: ${removed.join(", ")}`]
      : []),
  ];
}

function describeValues<Config>(
  previous: Config,
  current: Config,
  input: { readonly name: string; readonly keys: readonly (keyof Config)[] },
): string[] {
  return input.keys
    .filter((key) => previous[key] !== current[key])
    .map((key) =>
      `changes ${String(key)} of ${input.name} from ${
        String(previous[key] ?? "none")
      } to ${String(current[key] ?? "none")}`
    );
}
