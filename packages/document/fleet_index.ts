/**
 * The parsed document with the indexes that let a change be checked against the
 * whole without reading the whole: who owns each name, and how often each
 * customer and service is referred to. Immutable; changes return a new one.
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
import type { SectionGeneral } from "./schema/read_general.ts";
import { Container } from "./text/section_parts.ts";

/** Section that holds the teams and their keys; no team can bear its name. */
export const FLEET_SECTION = "@fleet";

/** The parsed document. */
export interface FleetIndex {
  readonly events: TrieMap<EventConfig>;
  readonly customers: TrieMap<CustomerConfig>;
  readonly services: TrieMap<ServiceConfig>;
  readonly teams: TrieMap<TeamConfig>;
  /** Section that holds each entry besides events, by {@link formatEntryName}. */
  readonly owners: TrieMap<TeamId>;
  /** Number of events or kinds that refer to an entry, by its name. */
  readonly uses: TrieMap<number>;
  /** Entry that has each name that must be unique: key hashes and target ids. */
  readonly unique: TrieMap<string>;
  readonly general: TrieMap<SectionGeneral>;
}

/** Returns the index of an empty document. */
export function createFleetIndex(): FleetIndex {
  return {
    events: TrieMap.createEmpty(),
    customers: TrieMap.createEmpty(),
    services: TrieMap.createEmpty(),
    teams: TrieMap.createEmpty(),
    owners: TrieMap.createEmpty(),
    uses: TrieMap.createEmpty(),
    unique: TrieMap.createEmpty(),
    general: TrieMap.createEmpty(),
  };
}

/** Returns the name of an entry, such as `events/march-close`. */
export function formatEntryName(container: Container, key: string): string {
  return `${container}/${key}`;
}

/** Returns the configuration in force for an index and a version. */
export function computeConfiguration(
  index: FleetIndex,
  version: number,
): FleetConfiguration {
  const empty = createEmptyConfiguration();
  const general = [...index.general.values()];
  const stale = general.flatMap((each) => each.staleAfter ?? []);
  return {
    version,
    events: index.events,
    customers: index.customers,
    services: index.services,
    teams: index.teams,
    links: general.flatMap((each) => each.links),
    staleAfter: stale.length === 0 ? empty.staleAfter : Math.min(...stale),
    messages: new Map(general.flatMap((each) => [...each.messages])),
  };
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

/** Returns the names of what an event refers to, once for each kind. */
export function listUses(event: EventConfig): string[] {
  const kinds = [...event.kinds.values()];
  return [
    ...event.customers.map((id) => formatEntryName(Container.Customers, id)),
    ...kinds.map((kind) => formatEntryName(Container.Services, kind.service)),
  ];
}
