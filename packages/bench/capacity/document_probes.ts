/** Costs of changing and following documents of any size. */
import { createHash } from "node:crypto";
import {
  applyInlineChange,
  Container,
  createDocumentState,
  type DocumentState,
  FLEET_SECTION,
  planChange,
  readSectionVersion,
  type SectionEdit,
} from "../../document/mod.ts";
import type { SeededRandom } from "../harness/random.ts";
import { formatEventId } from "./sample_fleet.ts";

/** Teams among which the events of a large document are spread. */
const MOST_TEAMS = 40;

/** Returns the planning of a change of one event. */
export function createPlanChangeProbe(
  budgets: number,
  random: SeededRandom,
): () => unknown {
  const state = createSampleDocument(budgets);
  return () => planOne(state, { budgets, random });
}

/** Returns the following of a change that another VM committed. */
export function createFollowChangeProbe(
  budgets: number,
  random: SeededRandom,
): () => unknown {
  const state = createSampleDocument(budgets);
  const { row } = planOne(state, { budgets, random });
  return () => applyInlineChange(state, row);
}

function planOne(
  state: DocumentState,
  input: { readonly budgets: number; readonly random: SeededRandom },
) {
  const index = input.random.drawInteger(0, input.budgets - 1);
  const section = findTeam(index, input.budgets);
  const value = formatEvent(2_000_000, section);
  const edit = {
    values: [{ container: Container.Events, key: formatEventId(index), value }],
  };
  return submit(state, section, edit);
}

/** One section of a sample document. */
export interface SampleSection {
  readonly section: string;
  readonly text: string;
}

/** Returns the sections of a document with so many events, the teams first. */
export function createSampleSections(budgets: number): SampleSection[] {
  const teams = new Map<string, number[]>();
  for (let index = 0; index < budgets; index++) {
    const team = findTeam(index, budgets);
    const indexes = teams.get(team) ?? [];
    teams.set(team, indexes);
    indexes.push(index);
  }
  const teamKeys = [...teams.keys()]
    .map((team) => `"${team}": { "keyHashes": ["${computeKeyHash(team)}"] }`);
  const text = `{ "teams": { ${teamKeys.join(", ")} } }`;
  const sections = [...teams].map(([section, indexes]) => ({
    section,
    text: formatSection(section, indexes),
  }));
  return [{ section: FLEET_SECTION, text }, ...sections];
}

function createSampleDocument(budgets: number): DocumentState {
  let state = createDocumentState();
  for (const { section, text } of createSampleSections(budgets)) {
    state = submit(state, section, { text }).next;
  }
  return state;
}

function submit(state: DocumentState, section: string, edit: SectionEdit) {
  return planChange(state, {
    changeId: `change-${state.version + 1}`,
    section,
    baseVersion: readSectionVersion(state, section),
    edit,
    author: "bench",
    wallTime: 0,
  }).unsafeCoerce();
}

function formatSection(team: string, indexes: readonly number[]): string {
  const events = indexes.map((index) =>
    `    "${formatEventId(index)}": ${formatEvent(1_000_000, team)}`
  );
  return `{
  "services": { "${team}-chat": { "type": "model-engine", "targets": {} } },
  "customers": { "${team}-customer": { "keyHashes": ["${
    computeKeyHash(`${team}-customer`)
  }"] } },
  "events": {
${events.join(",\n")}
  }
}`;
}

function formatEvent(budgetTokens: number, team: string): string {
  return `{ "budgetTokens": ${budgetTokens}, "customers": ["${team}-customer"], "kinds": { "chat": { "service": "${team}-chat", "maxOutputTokens": 400 } } }`;
}

function computeKeyHash(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

function findTeam(index: number, budgets: number): string {
  const teams = Math.min(MOST_TEAMS, Math.ceil(budgets / 10));
  return `team-${index % teams}`;
}
