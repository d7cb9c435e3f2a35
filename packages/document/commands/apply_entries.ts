/**
 * Applies changed entries to the index and validates them against the whole
 * document.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  type InputError,
  InputErrorKind,
  type TeamId,
  type TrieMap,
} from "../../core/mod.ts";
import {
  type FleetIndex,
  formatEntryName,
  listReferencedNames,
} from "../fleet_index.ts";
import {
  listBrokenReferences,
  listReferenceErrors,
} from "../queries/check_references.ts";
import type { EntryConfig } from "../schema/parse_entry.ts";
import { Container } from "../text/section_parts.ts";
import {
  createChangeError,
  type EntryChange,
  parseChange,
  type ParsedChange,
} from "./parse_change.ts";

/**
 * Returns the index after all changes, or their errors. Cross-checks run only
 * when every entry can be parsed.
 */
export function applyEntries(
  index: FleetIndex,
  changes: readonly EntryChange[],
): Either<readonly InputError[], FleetIndex> {
  const errors: InputError[] = [];
  const parsed = changes.flatMap((change) => {
    const result = parseChange(index, change, errors);
    return result === undefined ? [] : [result];
  });
  if (errors.length > 0) return Left(errors);
  errors.push(...listOwnerErrors(index, parsed));
  const unique = applyUniqueValues(index, parsed, errors);
  const next: FleetIndex = {
    ...index,
    events: applyConfigs(index.events, parsed, Container.Events),
    customers: applyConfigs(index.customers, parsed, Container.Customers),
    services: applyConfigs(index.services, parsed, Container.Services),
    teams: applyConfigs(index.teams, parsed, Container.Teams),
    owners: applyOwners(index, parsed),
    referenceCounts: applyReferenceCounts(index, parsed),
    uniqueValues: unique,
  };
  errors.push(...listReferenceErrors(next, parsed));
  errors.push(...listBrokenReferences(next, parsed));
  return errors.length > 0 ? Left(errors) : Right(next);
}

function listOwnerErrors(
  index: FleetIndex,
  parsed: readonly ParsedChange[],
): InputError[] {
  const newOwners = new Map<string, TeamId>();
  const removedNames = new Set(
    parsed.filter(({ after }) => after === undefined)
      .map(({ name, change }) => `${change.section}/${name}`),
  );
  const errors: InputError[] = [];
  for (const { name, change, after } of parsed) {
    if (after === undefined) continue;
    const currentOwner = findOwner(index, change);
    const isOwnedElsewhere = currentOwner !== undefined &&
      currentOwner !== change.section &&
      !removedNames.has(`${currentOwner}/${name}`);
    const owner = newOwners.get(name) ??
      (isOwnedElsewhere ? currentOwner : undefined);
    if (owner !== undefined) {
      errors.push(createChangeError(change, 0, {
        kind: InputErrorKind.Duplicate,
        message: `${name} is already defined in section ${owner}`,
        remedy: "Choose another name.",
      }));
    }
    newOwners.set(name, change.section);
  }
  return errors;
}

function applyConfigs<Config>(
  map: TrieMap<Config>,
  parsed: readonly ParsedChange[],
  container: Container,
) {
  const changesInContainer = parsed.filter(({ change }) =>
    change.container === container
  );
  const removed = changesInContainer.filter(({ after }) => after === undefined)
    .reduce((rest, { change }) => rest.remove(change.key), map);
  return removed.merge(
    changesInContainer.flatMap(({ after }) =>
      after === undefined
        ? []
        : [[after.config.id, after.config as unknown as Config] as const]
    ),
  );
}

/**
 * Returns the section of an entry. The configuration of an event contains its
 * own.
 */
function findOwner(
  index: FleetIndex,
  change: EntryChange,
): TeamId | undefined {
  const { container, key } = change;
  if (container === Container.Events) return index.events.get(key)?.team;
  return index.owners.get(formatEntryName(container, key));
}

function applyOwners(index: FleetIndex, parsed: readonly ParsedChange[]) {
  const nonEventChanges = parsed
    .filter(({ change }) => change.container !== Container.Events);
  const removed = nonEventChanges
    .filter(({ after }) => after === undefined)
    .reduce((rest, { name }) => rest.remove(name), index.owners);
  return removed.merge(
    nonEventChanges.flatMap(({ name, change, after }) =>
      after === undefined ? [] : [[name, change.section] as const]
    ),
  );
}

function applyReferenceCounts(
  index: FleetIndex,
  parsed: readonly ParsedChange[],
) {
  const deltas = new Map<string, number>();
  const addReferences = (entry: EntryConfig | undefined, sign: number) => {
    if (entry?.container !== Container.Events) return;
    for (const name of listReferencedNames(entry.config)) {
      deltas.set(name, (deltas.get(name) ?? 0) + sign);
    }
  };
  for (const { before, after } of parsed) {
    addReferences(before, -1);
    addReferences(after, 1);
  }
  const changed = [...deltas].map(([name, delta]) =>
    [name, (index.referenceCounts.get(name) ?? 0) + delta] as const
  );
  return index.referenceCounts.merge(changed);
}

function applyUniqueValues(
  index: FleetIndex,
  parsed: readonly ParsedChange[],
  errors: InputError[],
) {
  let unique = parsed
    .flatMap(({ before }) => listUniqueValues(before))
    .reduce((rest, name) => rest.remove(name), index.uniqueValues);
  const added = new Map<string, string>();
  for (const { change, name, after } of parsed) {
    for (const each of listUniqueValues(after)) {
      const usedBy = added.get(each) ?? unique.get(each);
      if (usedBy !== undefined) {
        errors.push(createChangeError(change, 0, {
          kind: InputErrorKind.Duplicate,
          message: `${each} of ${name} is already used by ${usedBy}`,
          remedy:
            "Use a different key for each customer and team, and a different id for each target.",
        }));
      }
      added.set(each, name);
    }
  }
  unique = unique.merge(added);
  return unique;
}

/** Returns the values of an entry that must be unique in the document. */
function listUniqueValues(entry: EntryConfig | undefined): string[] {
  switch (entry?.container) {
    case Container.Customers:
      return entry.config.keyHashes.map((hash) => `customer key hash ${hash}`);
    case Container.Teams:
      return entry.config.keyHashes.map((hash) => `team key hash ${hash}`);
    case Container.Services:
      return entry.config.targets.map((target) => `target ${target.id}`);
    default:
      return [];
  }
}
