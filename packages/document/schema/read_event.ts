/** Reads the configuration of an event and its kinds of requests. */
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
import type { ObjectReader } from "./object_reader.ts";
import { checkIdentifier } from "./read_identifier.ts";
import { type Reference, ReferencedType } from "./reference.ts";
import { shareKinds, shareString } from "./share_values.ts";

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

/**
 * Reads the configuration of an event and appends its references to the list.
 */
export function readEvent(
  reader: ObjectReader,
  options: {
    readonly id: string;
    readonly team: TeamId;
    readonly references: Reference[];
  },
): EventConfig {
  reader.checkKeys(EVENT_KEYS);
  const customers = reader.readStrings("customers", { required: true });
  for (const { text, offset } of customers) {
    options.references.push({
      type: ReferencedType.Customer,
      id: text,
      offset,
    });
  }
  return {
    id: options.id,
    team: options.team,
    budgetTokens: reader.readNumber("budgetTokens", {
      min: 0,
      max: MAX_TOKENS,
      integer: true,
    }),
    lean: reader.readEnum(
      "lean",
      BudgetPreference,
      BudgetPreference.FewerRefusals,
    ),
    customers: [...new Set(customers.map((customer) => customer.text))],
    homes: reader.readNumber("homes", {
      min: 1,
      max: MAX_HOMES,
      integer: true,
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
    const shared = shareString(id);
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
  const service = reader.readString("service");
  const maxOutputTokens = reader.readNumber("maxOutputTokens", {
    min: 0,
    max: MAX_OUTPUT_TOKENS,
    integer: true,
    fallback: 0,
  });
  const node = reader.findNode("service");
  if (node?.type === "string") {
    references.push({
      type: ReferencedType.Service,
      id: service,
      offset: node.offset,
      hasOutputLimit: maxOutputTokens > 0,
    });
  }
  return {
    id,
    service,
    priority: reader.readEnum("priority", Priority, Priority.Standard),
    // The safe default: a request is never run twice.
    repeatability: reader.readEnum(
      "repeatability",
      Repeatability,
      Repeatability.Once,
    ),
    maxOutputTokens,
    flatTokens: reader.readNumber("flatTokens", {
      min: 0,
      max: MAX_OUTPUT_TOKENS,
      integer: true,
      fallback: 0,
    }),
    deadline: reader.readNumber("deadlineMillis", {
      min: 1,
      max: MILLIS_PER_HOUR,
      fallback: DEFAULT_DEADLINE,
    }),
    whenStale: reader.readEnum("whenStale", StalePolicy, StalePolicy.CarryOn),
  };
}
