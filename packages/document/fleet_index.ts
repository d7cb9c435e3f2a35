/**
 * The parsed document with indexes that allow a change to be validated against
 * the whole document without scanning it: the section that owns each entry, and
 * the number of references to each customer and service. The index is
 * immutable; each change produces a new one.
 */
import {
  createEmptyConfiguration,
  type CustomerConfig,
  type EventConfig,
  type FleetConfiguration,
  type ServiceConfig,
  type TeamConfig,
  type TeamId,
  TrieMap,
} from "../core/mod.ts";
import type { EntryConfig } from "./schema/parse_entry.ts";
import type { SectionSettings } from "./schema/read_section_settings.ts";
import { Container } from "./text/section_parts.ts";

/**
 * Section that contains the teams and their keys; no team can have this name.
 */
export const FLEET_SECTION = "@fleet";

/** The parsed document with its indexes. */
export interface FleetIndex {
  readonly events: TrieMap<EventConfig>;
  readonly customers: TrieMap<CustomerConfig>;
  readonly services: TrieMap<ServiceConfig>;
  readonly teams: TrieMap<TeamConfig>;
  /** Section of each entry except events, by {@link formatEntryName}. */
  readonly owners: TrieMap<TeamId>;
  /**
   * Number of references from events and their kinds to an entry, by its name.
   */
  readonly referenceCounts: TrieMap<number>;
  /**
   * Name of the entry that uses each value that must be unique: key hashes and
   * target ids.
   */
  readonly uniqueValues: TrieMap<string>;
  /**
   * Links, staleness limit and messages of each section, by the section's name.
   */
  readonly settings: TrieMap<SectionSettings>;
}

/** Returns the index of an empty document. */
export function createFleetIndex(): FleetIndex {
  return {
    events: TrieMap.createEmpty(),
    customers: TrieMap.createEmpty(),
    services: TrieMap.createEmpty(),
    teams: TrieMap.createEmpty(),
    owners: TrieMap.createEmpty(),
    referenceCounts: TrieMap.createEmpty(),
    uniqueValues: TrieMap.createEmpty(),
    settings: TrieMap.createEmpty(),
  };
}

/** Returns the qualified name of an entry, such as `events/march-close`. */
export function formatEntryName(container: Container, key: string): string {
  return `${container}/${key}`;
}

/**
 * Returns the configuration that an index describes. When several sections set
 * a staleness limit, the smallest applies.
 */
export function computeConfiguration(
  index: FleetIndex,
  version: number,
): FleetConfiguration {
  const empty = createEmptyConfiguration();
  const settings = [...index.settings.values()];
  const staleLimits = settings.flatMap((each) => each.staleAfter ?? []);
  return {
    version,
    events: index.events,
    customers: index.customers,
    services: index.services,
    teams: index.teams,
    links: settings.flatMap((each) => each.links),
    staleAfter: staleLimits.length === 0
      ? empty.staleAfter
      : Math.min(...staleLimits),
    messages: new Map(settings.flatMap((each) => [...each.messages])),
  };
}

/**
 * Returns the parsed entry with a key in a container; undefined when there is
 * none.
 */
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

/**
 * Returns the names of the customers and services that an event refers to. A
 * service is listed once for each kind that uses it.
 */
export function listReferencedNames(event: EventConfig): string[] {
  const kinds = [...event.kinds.values()];
  return [
    ...event.customers.map((id) => formatEntryName(Container.Customers, id)),
    ...kinds.map((kind) => formatEntryName(Container.Services, kind.service)),
  ];
}
