/** Applies changed entries to the index and checks them against the whole. */
import { type Either, Left, Right } from "purify-ts";
import {
  type EventConfig,
  type InputError,
  InputErrorKind,
  type ServiceConfig,
  ServiceType,
  type TeamId,
  type TrieMap,
} from "../../core/mod.ts";
import { type FleetIndex, formatEntryName } from "../fleet_index.ts";
import { describeNearest, FaultList, quote } from "../schema/node_reader.ts";
import {
  computeEntryOffset,
  type EntryConfig,
  parseEntry,
} from "../schema/parse_entry.ts";
import { type Reference, ReferenceTarget } from "../schema/reference.ts";
import { copyText } from "../schema/share_values.ts";
import { Container } from "../text/section_parts.ts";
import type { SourceText } from "../text/source_text.ts";

/** One entry that is new, changed or removed. */
export interface EntryChange {
  readonly section: TeamId;
  readonly container: Container;
  readonly key: string;
  /** Text of the entry; absent when it is removed. */
  readonly text?: string;
  /** Text for places, and the entry's offset in it. */
  readonly source: SourceText;
  readonly offset: number;
}

interface ParsedChange {
  readonly change: EntryChange;
  readonly name: string;
  readonly before: EntryConfig | undefined;
  readonly after: EntryConfig | undefined;
  readonly references: readonly Reference[];
}

const CONTAINER_OF: Readonly<Record<ReferenceTarget, Container>> = {
  [ReferenceTarget.Customer]: Container.Customers,
  [ReferenceTarget.Service]: Container.Services,
};

/** Most events that a fault about a missing entry names. */
const MAX_NAMED = 5;

/** Applies the changes together, or returns every fault of them. */
export function applyEntries(
  index: FleetIndex,
  changes: readonly EntryChange[],
): Either<readonly InputError[], FleetIndex> {
  const faults: InputError[] = [];
  const parsed = changes.flatMap((change) => {
    const result = parseChange(index, change, faults);
    return result === undefined ? [] : [result];
  });
  if (faults.length > 0) return Left(faults);
  faults.push(...listOwnerFaults(index, parsed));
  const unique = applyUnique(index, parsed, faults);
  const next: FleetIndex = {
    ...index,
    events: applyConfigs(index.events, parsed, Container.Events),
    customers: applyConfigs(index.customers, parsed, Container.Customers),
    services: applyConfigs(index.services, parsed, Container.Services),
    teams: applyConfigs(index.teams, parsed, Container.Teams),
    owners: applyOwners(index, parsed),
    uses: applyUses(index, parsed),
    unique,
  };
  faults.push(...listReferenceFaults(next, parsed));
  faults.push(...listBrokenUses(next, parsed));
  return faults.length > 0 ? Left(faults) : Right(next);
}

function parseChange(
  index: FleetIndex,
  change: EntryChange,
  faults: InputError[],
): ParsedChange | undefined {
  // A key may be cut out of a whole document, which a copy does not keep.
  const name = copyText(formatEntryName(change.container, change.key));
  const before = findEntry(index, change.container, change.key);
  if (change.text === undefined) {
    return { change, name, before, after: undefined, references: [] };
  }
  const list = new FaultList(
    change.source,
    (offset) => change.offset + computeEntryOffset(offset),
  );
  const parsed = parseEntry(change.text, {
    container: change.container,
    path: `${change.section}.${change.container}`,
    key: change.key,
    team: change.section,
    faults: list,
  });
  faults.push(...list.list());
  if (parsed === undefined) return undefined;
  const { entry, references } = parsed;
  return { change, name, before, after: entry, references };
}

/** Returns the entry of the index in a container. */
export function findEntry(
  index: FleetIndex,
  container: Container,
  key: string,
): EntryConfig | undefined {
  const config = index[container].get(key);
  return config === undefined
    ? undefined
    : { container, config } as EntryConfig;
}

function listOwnerFaults(
  index: FleetIndex,
  parsed: readonly ParsedChange[],
): InputError[] {
  const taken = new Map<string, TeamId>();
  const freed = new Set(
    parsed.filter(({ after }) => after === undefined)
      .map(({ name, change }) => `${change.section}/${name}`),
  );
  const faults: InputError[] = [];
  for (const { name, change, after } of parsed) {
    if (after === undefined) continue;
    const known = findOwner(index, change);
    const held = known !== undefined && known !== change.section &&
      !freed.has(`${known}/${name}`);
    const owner = taken.get(name) ?? (held ? known : undefined);
    if (owner !== undefined) {
      faults.push(createFault(change, 0, {
        kind: InputErrorKind.Duplicate,
        message: `${name} is in the section of ${owner} already`,
        remedy: "Choose another name.",
      }));
    }
    taken.set(name, change.section);
  }
  return faults;
}

function applyConfigs<Config>(
  map: TrieMap<Config>,
  parsed: readonly ParsedChange[],
  container: Container,
) {
  const own = parsed.filter(({ change }) => change.container === container);
  const removed = own.filter(({ after }) => after === undefined)
    .reduce((rest, { change }) => rest.remove(change.key), map);
  return removed.merge(
    own.flatMap(({ after }) =>
      after === undefined
        ? []
        : [[after.config.id, after.config as unknown as Config] as const]
    ),
  );
}

/** Returns the section that holds an entry. Events name theirs themselves. */
function findOwner(
  index: FleetIndex,
  change: EntryChange,
): TeamId | undefined {
  const { container, key } = change;
  if (container === Container.Events) return index.events.get(key)?.team;
  return index.owners.get(formatEntryName(container, key));
}

function applyOwners(index: FleetIndex, parsed: readonly ParsedChange[]) {
  const others = parsed
    .filter(({ change }) => change.container !== Container.Events);
  const removed = others
    .filter(({ after }) => after === undefined)
    .reduce((rest, { name }) => rest.remove(name), index.owners);
  return removed.merge(
    others.flatMap(({ name, change, after }) =>
      after === undefined ? [] : [[name, change.section] as const]
    ),
  );
}

function applyUses(index: FleetIndex, parsed: readonly ParsedChange[]) {
  const change = new Map<string, number>();
  const addUses = (entry: EntryConfig | undefined, sign: number) => {
    if (entry?.container !== Container.Events) return;
    for (const name of listUses(entry.config)) {
      change.set(name, (change.get(name) ?? 0) + sign);
    }
  };
  for (const { before, after } of parsed) {
    addUses(before, -1);
    addUses(after, 1);
  }
  const changed = [...change].map(([name, sum]) =>
    [name, (index.uses.get(name) ?? 0) + sum] as const
  );
  return index.uses.merge(changed);
}

function listUses(event: EventConfig): string[] {
  const kinds = [...event.kinds.values()];
  return [
    ...event.customers.map((id) => formatEntryName(Container.Customers, id)),
    ...kinds.map((kind) => formatEntryName(Container.Services, kind.service)),
  ];
}

function applyUnique(
  index: FleetIndex,
  parsed: readonly ParsedChange[],
  faults: InputError[],
) {
  let unique = parsed
    .flatMap(({ before }) => listUniqueNames(before))
    .reduce((rest, name) => rest.remove(name), index.unique);
  const added = new Map<string, string>();
  for (const { change, name, after } of parsed) {
    for (const each of listUniqueNames(after)) {
      const holder = added.get(each) ?? unique.get(each);
      if (holder !== undefined) {
        faults.push(createFault(change, 0, {
          kind: InputErrorKind.Duplicate,
          message: `${each} of ${name} belongs to ${holder} already`,
          remedy: "Give each customer, team and target its own.",
        }));
      }
      added.set(each, name);
    }
  }
  unique = unique.merge(added);
  return unique;
}

/** Returns what of an entry no other entry may have. */
function listUniqueNames(entry: EntryConfig | undefined): string[] {
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

function listReferenceFaults(
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
      message: `There is no ${reference.target} ${quote(reference.id)}`,
      remedy: describeNearest(reference.id, listSome(index, container)),
    };
  }
  const bare = found.container === Container.Services &&
    needsOutputBound(found.config) && reference.generates === false;
  return bare
    ? {
      kind: InputErrorKind.MissingKey,
      message: `A kind of the model engines ${
        quote(reference.id)
      } lacks a bound of its answer`,
      remedy: 'Add "maxOutputTokens", at least 1.',
    }
    : undefined;
}

function needsOutputBound(service: ServiceConfig): boolean {
  return service.type === ServiceType.ModelEngine;
}

/** Most names that are searched for the nearest one. */
const MAX_SEARCHED = 2_000;

function listSome(index: FleetIndex, container: Container): string[] {
  const names: string[] = [];
  for (const name of index[container].keys()) {
    if (names.length >= MAX_SEARCHED) break;
    names.push(name);
  }
  return names;
}

/** Faults of events outside the change that refer to what it took away. */
function listBrokenUses(
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

function createFault(
  change: EntryChange,
  offset: number,
  words: {
    readonly kind: InputErrorKind;
    readonly message: string;
    readonly remedy: string;
  },
): InputError {
  const leading = offset === 0 ? findKeyOffset(change.text ?? "") : offset;
  const place = change.source.findPlace(change.offset + leading);
  return { ...words, place };
}

function findKeyOffset(text: string): number {
  return Math.max(0, text.indexOf('"'));
}
