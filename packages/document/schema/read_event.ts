/** Reads an event and its kinds. */
import {
  BudgetPreference,
  type EventConfig,
  type KindConfig,
  MILLIS_PER_HOUR,
  MILLIS_PER_MINUTE,
  Priority,
  Repeatability,
  StalePolicy,
  type TeamId,
} from "../../core/mod.ts";
import type { ObjectReader } from "./node_reader.ts";
import { checkIdentifier } from "./read_identifier.ts";
import { type Reference, ReferenceTarget } from "./reference.ts";
import { shareKinds, shareText } from "./share_values.ts";

const MAX_TOKENS = 1e15;
const MAX_OUTPUT_TOKENS = 1e7;
const MAX_HOMES = 16;
const DEFAULT_DEADLINE = MILLIS_PER_MINUTE;

const EVENT_KEYS = ["budgetTokens", "lean", "customers", "homes", "kinds"];
const KIND_KEYS = [
  "service",
  "priority",
  "repeatability",
  "maxOutputTokens",
  "flatTokens",
  "deadlineMillis",
  "whenStale",
];

/** Reads an event; what it refers to is added to the references. */
export function readEvent(
  reader: ObjectReader,
  options: {
    readonly id: string;
    readonly team: TeamId;
    readonly references: Reference[];
  },
): EventConfig {
  reader.checkKeys(EVENT_KEYS);
  const customers = reader.readTexts("customers", { required: true });
  for (const { text, offset } of customers) {
    options.references.push({
      target: ReferenceTarget.Customer,
      id: text,
      offset,
    });
  }
  return {
    id: options.id,
    team: options.team,
    budgetTokens: reader.readNumber("budgetTokens", {
      least: 0,
      most: MAX_TOKENS,
      whole: true,
    }),
    lean: reader.readWord(
      "lean",
      BudgetPreference,
      BudgetPreference.FewerRefusals,
    ),
    customers: [...new Set(customers.map((customer) => customer.text))],
    homes: reader.readNumber("homes", {
      least: 1,
      most: MAX_HOMES,
      whole: true,
      fallback: 1,
    }),
    kinds: shareKinds(readKinds(reader, options.references)),
  };
}

function readKinds(
  event: ObjectReader,
  references: Reference[],
): ReadonlyMap<string, KindConfig> {
  const kinds = new Map<string, KindConfig>();
  const reader = event.readObject("kinds", { required: true });
  if (reader === undefined) return kinds;
  for (const [id, offset] of reader.listKeys()) {
    checkIdentifier(reader, id, offset);
    const kind = reader.readObject(id, { required: true });
    if (kind === undefined) continue;
    const shared = shareText(id);
    kinds.set(shared, readKind(kind, shared, references));
  }
  return kinds;
}

function readKind(
  reader: ObjectReader,
  id: string,
  references: Reference[],
): KindConfig {
  reader.checkKeys(KIND_KEYS);
  const service = reader.readText("service");
  const maxOutputTokens = reader.readNumber("maxOutputTokens", {
    least: 0,
    most: MAX_OUTPUT_TOKENS,
    whole: true,
    fallback: 0,
  });
  const node = reader.findNode("service");
  if (node?.type === "string") {
    references.push({
      target: ReferenceTarget.Service,
      id: service,
      offset: node.offset,
      generates: maxOutputTokens > 0,
    });
  }
  return {
    id,
    service,
    priority: reader.readWord("priority", Priority, Priority.Standard),
    // The safe reading of a kind that does not say: never run it twice.
    repeatability: reader.readWord(
      "repeatability",
      Repeatability,
      Repeatability.Once,
    ),
    maxOutputTokens,
    flatTokens: reader.readNumber("flatTokens", {
      least: 0,
      most: MAX_OUTPUT_TOKENS,
      whole: true,
      fallback: 0,
    }),
    deadline: reader.readNumber("deadlineMillis", {
      least: 1,
      most: MILLIS_PER_HOUR,
      fallback: DEFAULT_DEADLINE,
    }),
    whenStale: reader.readWord("whenStale", StalePolicy, StalePolicy.CarryOn),
  };
}
