/** A VM's copy of the document: section texts, index and configuration. */
import { type FleetConfiguration, type TeamId, TrieMap } from "../core/mod.ts";
import {
  computeConfiguration,
  createFleetIndex,
  type FleetIndex,
} from "./fleet_index.ts";
import type { SectionState } from "./section_state.ts";

/** Immutable snapshot of the document at one version. */
export interface DocumentState {
  /** Rises by one with each accepted change; 0 before the first. */
  readonly version: number;
  readonly sections: TrieMap<SectionState>;
  readonly index: FleetIndex;
  readonly configuration: FleetConfiguration;
}

/** Returns the empty document, at version 0. */
export function createDocumentState(): DocumentState {
  return createState(0, TrieMap.createEmpty(), createFleetIndex());
}

/** Returns a document state with the configuration computed from its index. */
export function createState(
  version: number,
  sections: TrieMap<SectionState>,
  index: FleetIndex,
): DocumentState {
  const configuration = computeConfiguration(index, version);
  return { version, sections, index, configuration };
}

/** Returns the version of a section; 0 when it does not exist. */
export function readSectionVersion(
  state: DocumentState,
  section: TeamId,
): number {
  return state.sections.get(section)?.version ?? 0;
}
