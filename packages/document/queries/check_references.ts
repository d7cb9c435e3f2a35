/** Checks references from changed entries and references to them. */
import {
  type InputError,
  InputErrorKind,
  type ServiceConfig,
  ServiceType,
} from "../../core/mod.ts";
import { createFault, type ParsedChange } from "../commands/parse_change.ts";
import {
  findEntry,
  type FleetIndex,
  formatEntryName,
  listUses,
} from "../fleet_index.ts";
import { describeNearest, formatQuoted } from "../schema/node_reader.ts";
import { computeEntryOffset } from "../schema/parse_entry.ts";
import { type Reference, ReferenceTarget } from "../schema/reference.ts";
import { Container } from "../text/section_parts.ts";

const CONTAINER_OF: Readonly<Record<ReferenceTarget, Container>> = {
  [ReferenceTarget.Customer]: Container.Customers,
  [ReferenceTarget.Service]: Container.Services,
};

/**
 * Maximum number of events listed in the error about an entry that they use.
 */
const MAX_NAMED = 5;

/** Returns the errors of references from changed entries. */
export function listReferenceFaults(
  index: FleetIndex,
  parsed: readonly ParsedChange[],
): InputError[] {
  return parsed.flatMap(({ change, references }) =>
    references.flatMap((reference) => {
      const words = checkReference(index, reference);
      if (words === undefined) return [];
      return [createFault(change, computeEntryOffset(reference.offset), words)];
    })
  );
}

function checkReference(index: FleetIndex, reference: Reference) {
  const container = CONTAINER_OF[reference.target];
  const found = findEntry(index, container, reference.id);
  if (found === undefined) {
    return {
      kind: InputErrorKind.UnknownReference,
      message: `There is no ${reference.target} ${formatQuoted(reference.id)}`,
      remedy: describeNearest(reference.id, listSome(index, container)),
    };
  }
  const bare = found.container === Container.Services &&
    needsOutputBound(found.config) && reference.generates === false;
  return bare
    ? {
      kind: InputErrorKind.MissingKey,
      message: `A kind that uses the model engines ${
        formatQuoted(reference.id)
      } has no limit of output tokens`,
      remedy: 'Add "maxOutputTokens", at least 1.',
    }
    : undefined;
}

function needsOutputBound(service: ServiceConfig): boolean {
  return service.type === ServiceType.ModelEngine;
}

/** Maximum number of names that are searched for the most similar one. */
const MAX_SEARCHED = 2_000;

function listSome(index: FleetIndex, container: Container): string[] {
  const names: string[] = [];
  for (const name of index[container].keys()) {
    if (names.length >= MAX_SEARCHED) break;
    names.push(name);
  }
  return names;
}

/**
 * Returns the errors of changes that break references from events: the removal
 * of an entry that is in use, and the change of a service into model engines
 * while kinds without an output limit use it.
 */
export function listBrokenUses(
  index: FleetIndex,
  parsed: readonly ParsedChange[],
): InputError[] {
  return parsed.flatMap(({ change, name, before, after }) => {
    const gone = before !== undefined && after === undefined &&
      findEntry(index, change.container, change.key) === undefined;
    const retyped = before?.container === Container.Services &&
      after?.container === Container.Services &&
      !needsOutputBound(before.config) && needsOutputBound(after.config);
    if (!gone && !retyped) return [];
    if ((index.uses.get(name) ?? 0) === 0) return [];
    const users = listUsers(index, name, { withoutBound: retyped });
    if (users.length === 0) return [];
    const list = users.slice(0, MAX_NAMED).join(", ");
    return [createFault(change, 0, {
      kind: InputErrorKind.UnknownReference,
      message: `${name} is used by ${users.length} events: ${list}`,
      remedy: retyped
        ? 'Give their kinds "maxOutputTokens" first.'
        : "Change these events first.",
    })];
  });
}

function listUsers(
  index: FleetIndex,
  name: string,
  options: { readonly withoutBound: boolean },
): string[] {
  const users: string[] = [];
  for (const event of index.events.values()) {
    const uses = options.withoutBound
      ? [...event.kinds.values()]
        .filter((kind) => kind.maxOutputTokens === 0)
        .map((kind) => formatEntryName(Container.Services, kind.service))
      : listUses(event);
    if (uses.includes(name)) users.push(event.id);
  }
  return users.sort();
}
