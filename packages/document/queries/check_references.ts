/** Checks references from changed entries and references to them. */
import {
  type InputError,
  InputErrorKind,
  type ServiceConfig,
  ServiceType,
} from "../../core/mod.ts";
import {
  createChangeError,
  type ParsedChange,
} from "../commands/parse_change.ts";
import {
  findEntry,
  type FleetIndex,
  formatEntryName,
  listReferencedNames,
} from "../fleet_index.ts";
import { describeNearest, formatQuoted } from "../schema/object_reader.ts";
import { computeEntryOffset } from "../schema/parse_entry.ts";
import { type Reference, ReferencedType } from "../schema/reference.ts";
import { Container } from "../text/section_parts.ts";

const CONTAINER_BY_TYPE: Readonly<Record<ReferencedType, Container>> = {
  [ReferencedType.Customer]: Container.Customers,
  [ReferencedType.Service]: Container.Services,
};

/**
 * Maximum number of events listed in the error about an entry that they use.
 */
const MAX_LISTED_EVENTS = 5;

/** Returns the errors of references from changed entries. */
export function listReferenceErrors(
  index: FleetIndex,
  parsed: readonly ParsedChange[],
): InputError[] {
  return parsed.flatMap(({ change, references }) =>
    references.flatMap((reference) => {
      const details = checkReference(index, reference);
      if (details === undefined) return [];
      return [
        createChangeError(
          change,
          computeEntryOffset(reference.offset),
          details,
        ),
      ];
    })
  );
}

function checkReference(index: FleetIndex, reference: Reference) {
  const container = CONTAINER_BY_TYPE[reference.type];
  const found = findEntry(index, container, reference.id);
  if (found === undefined) {
    return {
      kind: InputErrorKind.UnknownReference,
      message: `There is no ${reference.type} ${formatQuoted(reference.id)}`,
      remedy: describeNearest(reference.id, listCandidates(index, container)),
    };
  }
  const lacksOutputLimit = found.container === Container.Services &&
    needsOutputLimit(found.config) && reference.hasOutputLimit === false;
  return lacksOutputLimit
    ? {
      kind: InputErrorKind.MissingKey,
      message: `A kind that uses the model engines ${
        formatQuoted(reference.id)
      } has no limit of output tokens`,
      remedy: 'Add "maxOutputTokens", at least 1.',
    }
    : undefined;
}

function needsOutputLimit(service: ServiceConfig): boolean {
  return service.type === ServiceType.ModelEngine;
}

/** Maximum number of names that are searched for the most similar one. */
const MAX_CANDIDATES = 2_000;

function listCandidates(index: FleetIndex, container: Container): string[] {
  const names: string[] = [];
  for (const name of index[container].keys()) {
    if (names.length >= MAX_CANDIDATES) break;
    names.push(name);
  }
  return names;
}

/**
 * Returns the errors of changes that break references from events: the removal
 * of an entry that is in use, and the change of a service into model engines
 * while kinds without an output limit use it.
 */
export function listBrokenReferences(
  index: FleetIndex,
  parsed: readonly ParsedChange[],
): InputError[] {
  return parsed.flatMap(({ change, name, before, after }) => {
    const isRemoved = before !== undefined && after === undefined &&
      findEntry(index, change.container, change.key) === undefined;
    const becameModelEngine = before?.container === Container.Services &&
      after?.container === Container.Services &&
      !needsOutputLimit(before.config) && needsOutputLimit(after.config);
    if (!isRemoved && !becameModelEngine) return [];
    if ((index.referenceCounts.get(name) ?? 0) === 0) return [];
    const eventIds = listReferencingEvents(index, name, {
      withoutOutputLimit: becameModelEngine,
    });
    if (eventIds.length === 0) return [];
    const list = eventIds.slice(0, MAX_LISTED_EVENTS).join(", ");
    return [createChangeError(change, 0, {
      kind: InputErrorKind.UnknownReference,
      message: `${name} is used by ${eventIds.length} events: ${list}`,
      remedy: becameModelEngine
        ? 'Give their kinds "maxOutputTokens" first.'
        : "Change these events first.",
    })];
  });
}

function listReferencingEvents(
  index: FleetIndex,
  name: string,
  options: { readonly withoutOutputLimit: boolean },
): string[] {
  const eventIds: string[] = [];
  for (const event of index.events.values()) {
    const uses = options.withoutOutputLimit
      ? [...event.kinds.values()]
        .filter((kind) => kind.maxOutputTokens === 0)
        .map((kind) => formatEntryName(Container.Services, kind.service))
      : listReferencedNames(event);
    if (uses.includes(name)) eventIds.push(event.id);
  }
  return eventIds.sort();
}
