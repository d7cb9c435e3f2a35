/**
 * Measures the cost of loading the whole document and of making and following
 * one change, by the number of events.
 */
import { BYTES_PER_MIB, MILLIS_PER_SECOND } from "../../core/mod.ts";
import {
  Container,
  createDocumentState,
  type DocumentReader,
  type DocumentState,
  FLEET_SECTION,
  loadDocument,
  parseDocument,
  planChange,
  type SectionEdit,
  submitChange,
  type SubmitPorts,
  SubmitState,
} from "../../document/mod.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "../report/experiment.ts";
import { CountingTable } from "./counting_table.ts";
import {
  type DocumentSizes,
  formatDocument,
  formatEvent,
  formatFleetSection,
  formatSharedSection,
  formatTeamName,
  formatTeamSection,
  SHARED_SECTION,
} from "./large_document.ts";

const CUSTOMERS = 3_800;
/** Changes made and followed at each size. */
const CHANGES = 200;

const SIZES: readonly DocumentSizes[] = [
  { events: 1_000, customers: CUSTOMERS, teams: 20 },
  { events: 10_000, customers: CUSTOMERS, teams: 20 },
  { events: 80_000, customers: CUSTOMERS, teams: 20 },
  { events: 80_000, customers: CUSTOMERS, teams: 1 },
];

/** Configuration changes on an ordinary day. */
const CHANGES_PER_DAY = 1_500;
const SECONDS_PER_DAY = 86_400;

/**
 * Figures of one size; the order of the fields is that of the table's columns.
 */
interface ScaleFigures {
  readonly events: number;
  readonly teams: number;
  readonly textMib: number;
  readonly parseSeconds: number;
  readonly loadSeconds: number;
  readonly loadRows: number;
  readonly loadMib: number;
  readonly planMillis: number;
  readonly planMaxMillis: number;
  readonly followMillis: number;
  readonly rowsWritten: number;
  readonly bytesWritten: number;
  readonly rowsRead: number;
  readonly bytesRead: number;
}

/** The experiment as `anvilrail bench` runs it. */
export const documentScaleExperiment: Experiment = {
  name: "document-scale",
  description:
    "Time, rows and bytes of the whole document and of one change, by the number of events",
  quick: true,
  run: runSizes,
};

async function runSizes(options: ExperimentOptions): Promise<ExperimentResult> {
  const sizes = options.quick ? SIZES.slice(0, 2) : SIZES;
  const rows: ScaleFigures[] = [];
  for (const size of sizes) {
    options.log(`${size.events} events in ${size.teams} sections`);
    rows.push(await runSize(size));
  }
  const first = rows[0]!;
  const last = rows.at(-1)!;
  return {
    tables: [{
      name: "document-scale",
      title: "The whole document, and one change of one event",
      columns: [
        "events",
        "sections",
        "text, MiB",
        "parse whole, s",
        "load whole, s",
        "rows of whole load",
        "MiB of whole load",
        "plan change, ms (median)",
        "plan change, ms (slowest)",
        "follow change, ms (median)",
        "rows written per change",
        "bytes written per change",
        "rows read to follow",
        "bytes read to follow",
      ],
      rows: rows.map((row) => Object.values(row) as number[]),
    }],
    goals: [
      createAtMostGoal("growth of planning a change over all sizes", {
        bound: 3,
        unit: "times",
        value: round(last.planMillis / first.planMillis),
      }),
      createAtMostGoal("bytes that following costs a node", {
        bound: 512,
        unit: "B/s",
        value: round(last.bytesRead * CHANGES_PER_DAY / SECONDS_PER_DAY),
      }),
    ],
    notes: [
      "Rows are in memory; bytes are those of the row values as JSON.",
      "Times are of one process on the machine named and vary with its load.",
    ],
  };
}

async function runSize(size: DocumentSizes): Promise<ScaleFigures> {
  const parseFigures = measureParse(size);
  const table = new CountingTable();
  const ports: SubmitPorts = {
    reader: table,
    run: (operation) => table.run(operation),
  };
  let state = await createDocument(ports, size);
  table.clearCounts();
  const loadStart = performance.now();
  let follower = await loadNewest(table, createDocumentState());
  const load = {
    seconds: (performance.now() - loadStart) / MILLIS_PER_SECOND,
    rows: table.rowsRead,
    bytes: table.bytesRead,
  };
  const planned: number[] = [];
  const followed: number[] = [];
  const written = { rows: 0, bytes: 0 };
  const read = { rows: 0, bytes: 0 };
  for (let changeIndex = 0; changeIndex < CHANGES; changeIndex++) {
    const input = createChange(state, size, changeIndex);
    const before = state;
    planned.push(measureTime(() => void planChange(before, input)));
    table.clearCounts();
    state = await submit(ports, state, input);
    written.rows += table.rowsWritten;
    written.bytes += table.bytesWritten;
    table.clearCounts();
    const start = performance.now();
    follower = await loadNewest(table, follower);
    followed.push(performance.now() - start);
    read.rows += table.rowsRead;
    read.bytes += table.bytesRead;
  }
  return {
    events: size.events,
    teams: size.teams,
    ...parseFigures,
    loadSeconds: round(load.seconds),
    loadRows: load.rows,
    loadMib: round(load.bytes / BYTES_PER_MIB),
    planMillis: round(computeUpperMedian(planned)),
    planMaxMillis: round(Math.max(...planned)),
    followMillis: round(computeUpperMedian(followed)),
    rowsWritten: round(written.rows / CHANGES),
    bytesWritten: round(written.bytes / CHANGES),
    rowsRead: round(read.rows / CHANGES),
    bytesRead: round(read.bytes / CHANGES),
  };
}

function measureParse(size: DocumentSizes) {
  const text = formatDocument(size);
  let parsed = false;
  const millis = measureTime(() => {
    parsed = parseDocument(text, "document").isRight();
  });
  if (!parsed) throw new Error("The generated document is invalid.");
  return {
    textMib: round(text.length / BYTES_PER_MIB),
    parseSeconds: round(millis / MILLIS_PER_SECOND),
  };
}

/** Submits all sections: teams, the shared section, then one for each team. */
async function createDocument(
  ports: SubmitPorts,
  size: DocumentSizes,
): Promise<DocumentState> {
  const texts = new Map([
    [FLEET_SECTION, formatFleetSection(size)],
    [SHARED_SECTION, formatSharedSection(size)],
  ]);
  for (let team = 0; team < size.teams; team++) {
    texts.set(formatTeamName(team), formatTeamSection(size, team));
  }
  let state = createDocumentState();
  for (const [section, text] of texts) {
    const input = createInput(section, 0, { text });
    state = await submit(ports, state, input);
  }
  return state;
}

function createChange(
  state: DocumentState,
  size: DocumentSizes,
  changeIndex: number,
) {
  // The step is coprime with the sizes, so the changes are spread over all
  // events.
  const event = changeIndex * 7_919 % size.events;
  const section = formatTeamName(
    Math.floor(event / Math.ceil(size.events / size.teams)),
  );
  const version = state.sections.get(section)?.version ?? 0;
  const value = formatEvent(size, event, 6_000 + changeIndex);
  const key = `event-${event}`;
  const edit = { values: [{ container: Container.Events, key, value }] };
  return createInput(section, version, edit);
}

function createInput(
  section: string,
  baseVersion: number,
  edit: SectionEdit,
) {
  return {
    changeId: `${section}-${baseVersion}`,
    section,
    baseVersion,
    edit,
    author: "operator",
    wallTime: 0,
  };
}

async function submit(
  ports: SubmitPorts,
  state: DocumentState,
  input: ReturnType<typeof createInput>,
): Promise<DocumentState> {
  const result = await submitChange(ports, state, input);
  if (result.state === SubmitState.Accepted) return result.document;
  throw new Error(`${input.changeId}: ${JSON.stringify(result).slice(0, 500)}`);
}

async function loadNewest(
  reader: DocumentReader,
  state: DocumentState,
): Promise<DocumentState> {
  return (await loadDocument(reader, state)).unsafeCoerce().state;
}

function measureTime(action: () => void): number {
  const start = performance.now();
  action();
  return performance.now() - start;
}

function computeUpperMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function round(value: number): number {
  return Number(value.toFixed(2));
}
