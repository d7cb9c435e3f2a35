/**
 * Measures the time until an accepted document change is applied on every VM,
 * and the reads and bytes that following the document takes.
 */
import {
  type Bytes,
  type Millis,
  MILLIS_PER_MINUTE,
  MILLIS_PER_SECOND,
  type MonotonicTime,
  type VmId,
} from "../../core/mod.ts";
import {
  addRecentChange,
  Container,
  createDocumentState,
  type DocumentReader,
  type DocumentState,
  FLEET_SECTION,
  loadDocument,
  type RecentChanges,
  StateReader,
  submitChange,
  SubmitState,
} from "../../document/mod.ts";
import { SeededRandom } from "../harness/random.ts";
import { MemberGroup } from "../membership/member_group.ts";
import {
  createAtMostGoal,
  type Experiment,
  type ExperimentOptions,
  type ExperimentResult,
} from "../report/experiment.ts";
import { CountingTable } from "./counting_table.ts";
import {
  type DocumentSizes,
  formatEvent,
  formatFleetSection,
  formatSharedSection,
  formatTeamName,
  formatTeamSection,
  SHARED_SECTION,
} from "./large_document.ts";

const SIZE: DocumentSizes = { events: 200, customers: 100, teams: 1 };

/** Interval at which each VM polls the store for a newer document version. */
const POLL_INTERVAL: Millis = 5 * MILLIS_PER_SECOND;

/** Changes submitted in each case. */
const CHANGES = 10;

/** Interval between changes: 1,500 changes a day are one every 57.6 s. */
const CHANGE_INTERVAL: Millis = 57_600;

/** Goal for the time until a change is applied on every VM, in seconds. */
const MAX_SECONDS_UNTIL_IN_FORCE = 15;

/** Half of the 2 KiB/s that a VM may spend on control traffic. */
const MAX_BYTES_PER_SECOND = 1_024;

interface PropagationCase {
  readonly members: number;
  /** Share of the VMs that cannot reach the store, from 0 to 1. */
  readonly disconnectedShare: number;
}

const CASES: readonly PropagationCase[] = [
  { members: 8, disconnectedShare: 0 },
  { members: 8, disconnectedShare: 0.5 },
  { members: 96, disconnectedShare: 0 },
  { members: 96, disconnectedShare: 0.5 },
  { members: 380, disconnectedShare: 0 },
  { members: 380, disconnectedShare: 0.5 },
];
const QUICK_CASES = CASES.slice(0, 4);

/** The experiment as `anvilrail bench` runs it. */
export const documentInForceExperiment: Experiment = {
  name: "document-in-force",
  description:
    "Time until a change is in force everywhere, by polling and by peers, with reads and bytes",
  quick: true,
  run: runCases,
};

interface Follower {
  state: DocumentState;
  recent: RecentChanges;
  isLoading: boolean;
}

/**
 * VMs that follow one document. A VM that can reach the store polls it; one
 * that cannot loads the document from peers.
 */
class FollowerGroup {
  readonly table = new CountingTable();
  readonly members: MemberGroup;
  readonly #followers = new Map<VmId, Follower>();
  readonly #isDisconnected: (vm: VmId) => boolean;
  readonly #reachedAt = new Map<number, MonotonicTime>();
  peerBytes: Bytes = 0;

  constructor(input: PropagationCase, random: SeededRandom) {
    this.members = new MemberGroup(1);
    this.members.startMembers(input.members);
    this.members.onExchange = (left, right) => this.#syncPeers(left, right);
    const vms = this.members.listRunning();
    const disconnected = new Set(
      vms.slice(0, Math.floor(vms.length * input.disconnectedShare)),
    );
    this.#isDisconnected = (vm) => disconnected.has(vm);
    for (const vm of vms) {
      const follower = {
        state: createDocumentState(),
        recent: [],
        isLoading: false,
      };
      this.#followers.set(vm, follower);
      const phase = random.uniform() * POLL_INTERVAL;
      this.members.clock.schedule(phase, () => this.#poll(vm));
    }
  }

  /**
   * Returns when the last VM applied a version; undefined while a VM has an
   * older one.
   */
  readReachedAt(version: number): MonotonicTime | undefined {
    const isReachedByAll = [...this.#followers.values()]
      .every((follower) => follower.state.version >= version);
    return isReachedByAll ? this.#reachedAt.get(version) : undefined;
  }

  #poll(vm: VmId): void {
    this.members.clock.schedule(POLL_INTERVAL, () => this.#poll(vm));
    if (!this.#isDisconnected(vm)) void this.#load(vm, this.table);
  }

  /**
   * Compares the versions of two peers after an exchange. The VM with the older
   * document loads the changes from the store, or from the peer if the store is
   * out of reach.
   */
  #syncPeers(left: VmId, right: VmId): void {
    const versions = [left, right].map((vm) => this.#get(vm).state.version);
    if (versions[0] === versions[1]) return;
    const [older, newer] = versions[0]! < versions[1]!
      ? [left, right]
      : [right, left];
    if (!this.#isDisconnected(older)) return void this.#load(older, this.table);
    const { state, recent } = this.#get(newer);
    const reader = new PeerReader(new StateReader(state, recent), (bytes) => {
      this.peerBytes += bytes;
    });
    void this.#load(older, reader);
  }

  async #load(vm: VmId, reader: DocumentReader): Promise<void> {
    const follower = this.#get(vm);
    if (follower.isLoading) return;
    follower.isLoading = true;
    const loaded = (await loadDocument(reader, follower.state)).unsafeCoerce();
    follower.isLoading = false;
    if (loaded.state.version <= follower.state.version) return;
    follower.state = loaded.state;
    follower.recent = loaded.changes.reduce(addRecentChange, follower.recent);
    this.members.changeDocument(vm, follower.state.version);
    const now = this.members.clock.readMonotonic();
    this.#reachedAt.set(follower.state.version, now);
  }

  #get(vm: VmId): Follower {
    return this.#followers.get(vm)!;
  }
}

/**
 * A document reader that reports the bytes of the rows read by key from a peer.
 */
class PeerReader implements DocumentReader {
  readonly #reader: DocumentReader;
  readonly #recordBytes: (bytes: Bytes) => void;

  constructor(reader: DocumentReader, recordBytes: (bytes: Bytes) => void) {
    this.#reader = reader;
    this.#recordBytes = recordBytes;
  }

  async read(keys: readonly string[]) {
    const answer = await this.#reader.read(keys);
    return answer.ifRight((rows) =>
      this.#recordBytes(JSON.stringify(rows).length)
    );
  }

  scan(
    prefix: string,
    options: { readonly after?: string; readonly limit: number },
  ) {
    return this.#reader.scan(prefix, options);
  }
}

async function runCases(options: ExperimentOptions): Promise<ExperimentResult> {
  const cases = options.quick ? QUICK_CASES : CASES;
  const rows: (readonly number[])[] = [];
  for (const each of cases) {
    options.log(
      `${each.members} VMs, ${each.disconnectedShare} disconnected from the store`,
    );
    rows.push(await runCase(each, options.seed));
  }
  const slowest = Math.max(...rows.map((row) => row[3]!));
  const bytes = Math.max(...rows.map((row) => row[5]! + row[6]!));
  return {
    tables: [{
      name: "document-in-force",
      title: "One change at the rate of 1,500 a day",
      columns: [
        "VMs",
        "part without the table",
        "in force everywhere, s (median)",
        "in force everywhere, s (slowest)",
        "rows read/s, whole fleet",
        "document bytes/s per VM",
        "gossip bytes/s per VM",
      ],
      rows,
    }],
    goals: [
      createAtMostGoal("in force everywhere", {
        bound: MAX_SECONDS_UNTIL_IN_FORCE,
        unit: "s",
        value: slowest,
      }),
      createAtMostGoal("payload of following and gossip", {
        bound: MAX_BYTES_PER_SECOND,
        unit: "B/s",
        value: round(bytes),
      }),
    ],
    notes: [
      "Bytes are JSON payload without HTTP headers.",
      "Reads and messages take no time in this simulation; the delay of a change is the wait for the next poll of the store or exchange with a peer.",
    ],
  };
}

async function runCase(
  input: PropagationCase,
  seed: number,
): Promise<readonly number[]> {
  const random = new SeededRandom(seed);
  const group = new FollowerGroup(input, random);
  const { clock } = group.members;
  let state = await createDocument(group.table);
  await clock.runUntil(MILLIS_PER_MINUTE);
  group.table.clearCounts();
  group.peerBytes = 0;
  const gossipBefore = sumGossipBytes(group, input.members);
  const start = clock.readMonotonic();
  const seconds: number[] = [];
  for (let changeIndex = 0; changeIndex < CHANGES; changeIndex++) {
    const reads = { rows: group.table.rowsRead, bytes: group.table.bytesRead };
    state = await submitEventChange(group.table, state, changeIndex);
    // Restores the counters, so that reads by the submitting VM do not count
    // as the cost of following the document.
    group.table.rowsRead = reads.rows;
    group.table.bytesRead = reads.bytes;
    const acceptedAt = clock.readMonotonic();
    await clock.runUntil(acceptedAt + CHANGE_INTERVAL);
    const reachedAt = group.readReachedAt(state.version);
    const delay = (reachedAt ?? Number.POSITIVE_INFINITY) - acceptedAt;
    seconds.push(delay / MILLIS_PER_SECOND);
  }
  const elapsedSeconds = (clock.readMonotonic() - start) / MILLIS_PER_SECOND;
  const each = (sum: number) => round(sum / elapsedSeconds / input.members);
  seconds.sort((left, right) => left - right);
  return [
    input.members,
    input.disconnectedShare,
    round(seconds[Math.floor(CHANGES / 2)]!),
    round(seconds.at(-1)!),
    round(group.table.rowsRead / elapsedSeconds),
    each(group.table.bytesRead + group.peerBytes),
    each(sumGossipBytes(group, input.members) - gossipBefore),
  ];
}

function sumGossipBytes(group: FollowerGroup, members: number): Bytes {
  return group.members.listRunning().slice(0, members)
    .reduce((sum, vm) => sum + group.members.readTraffic(vm).bytes, 0);
}

async function createDocument(table: CountingTable): Promise<DocumentState> {
  let state = createDocumentState();
  const texts = [
    [FLEET_SECTION, formatFleetSection(SIZE)],
    [SHARED_SECTION, formatSharedSection(SIZE)],
    [formatTeamName(0), formatTeamSection(SIZE, 0)],
  ] as const;
  for (const [section, text] of texts) {
    state = await submitEdit(table, state, { section, edit: { text } });
  }
  return state;
}

function submitEventChange(
  table: CountingTable,
  state: DocumentState,
  changeIndex: number,
): Promise<DocumentState> {
  const value = formatEvent(SIZE, changeIndex, 6_000 + changeIndex);
  const key = `event-${changeIndex}`;
  const edit = { values: [{ container: Container.Events, key, value }] };
  return submitEdit(table, state, { section: formatTeamName(0), edit });
}

async function submitEdit(
  table: CountingTable,
  state: DocumentState,
  input: Pick<Parameters<typeof submitChange>[2], "section" | "edit">,
): Promise<DocumentState> {
  const baseVersion = state.sections.get(input.section)?.version ?? 0;
  const result = await submitChange(
    { reader: table, run: (operation) => table.run(operation) },
    state,
    {
      ...input,
      changeId: `${input.section}-${baseVersion}`,
      baseVersion,
      author: "operator",
      wallTime: 0,
    },
  );
  if (result.state === SubmitState.Accepted) return result.document;
  throw new Error(JSON.stringify(result).slice(0, 500));
}

function round(value: number): number {
  return Number(value.toFixed(2));
}
