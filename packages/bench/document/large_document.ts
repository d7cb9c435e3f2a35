/** Generates documents of any size for measurements. */
import { createHash } from "node:crypto";

/** Numbers of objects in a document. */
export interface DocumentSizes {
  readonly events: number;
  readonly customers: number;
  readonly teams: number;
}

const MODELS = 7;
const CUSTOMERS_PER_EVENT = 4;
const KINDS_PER_EVENT = 3;

/** Name of the section with the customers and services of all teams. */
export const SHARED_SECTION = "platform";

/** Returns the name of the team with an index, which is also its section's. */
export function formatTeamName(index: number): string {
  return `team-${index}`;
}

/** Returns the text of the fleet section, which declares the teams. */
export function formatFleetSection(sizes: DocumentSizes): string {
  const names = [
    SHARED_SECTION,
    ...Array.from({ length: sizes.teams }, (_, index) => formatTeamName(index)),
  ];
  const teams = names.map((name) =>
    `    "${name}": { "keyHashes": ["${hashText(name)}"] }`
  );
  return `{\n  "teams": {\n${teams.join(",\n")}\n  }\n}\n`;
}

/** Returns the text of the section of customers and services. */
export function formatSharedSection(sizes: DocumentSizes): string {
  const customers = Array.from({ length: sizes.customers }, (_, index) => {
    const id = `customer-${index}`;
    return `    "${id}": { "keyHashes": ["${hashText(id)}"], "weight": 1 }`;
  });
  const services = Array.from(
    { length: MODELS },
    (_, index) =>
      `    "model-${index}": { "type": "model-engine", "targets": {} }`,
  );
  return `{
  // customers of all teams
  "customers": {\n${customers.join(",\n")}\n  },
  "services": {\n${services.join(",\n")}\n  }
}
`;
}

/** Returns the text of a team's section, which holds its events. */
export function formatTeamSection(
  sizes: DocumentSizes,
  team: number,
): string {
  const count = Math.ceil(sizes.events / sizes.teams);
  const events = Array.from({ length: count }, (_, index) => {
    const eventIndex = team * count + index;
    return `    // event ${eventIndex} of the year
    "event-${eventIndex}": ${formatEvent(sizes, eventIndex, 5_000)}`;
  });
  return `{\n  "events": {\n${events.join(",\n")}\n  }\n}\n`;
}

/** Returns the text of an event's value in its section. */
export function formatEvent(
  sizes: DocumentSizes,
  eventIndex: number,
  tokens: number,
): string {
  const customers = Array.from(
    { length: CUSTOMERS_PER_EVENT },
    (_, index) => `"customer-${(eventIndex * 7 + index) % sizes.customers}"`,
  );
  const kinds = Array.from(
    { length: KINDS_PER_EVENT },
    (_, index) =>
      `        "kind-${index}": { "service": "model-${
        (eventIndex + index) % MODELS
      }", "maxOutputTokens": 800, "repeatability": "repeatable" }`,
  );
  return `{
      "budgetTokens": ${tokens},
      "customers": [${customers.join(", ")}],
      "kinds": {\n${kinds.join(",\n")}\n      }
    }`;
}

/** Returns the whole document, with all its sections, as one text. */
export function formatDocument(sizes: DocumentSizes): string {
  const teams = formatFleetSection(sizes).trim().replace(/^\{\s*/, "")
    .replace(/\s*\}$/, "");
  const sections = Array.from(
    { length: sizes.teams },
    (_, index) =>
      `"${formatTeamName(index)}": ${formatTeamSection(sizes, index)}`,
  );
  const shared = `"${SHARED_SECTION}": ${formatSharedSection(sizes)}`;
  return `{ ${teams},\n"sections": { ${
    [shared, ...sections].join(",\n")
  } } }\n`;
}

function hashText(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
