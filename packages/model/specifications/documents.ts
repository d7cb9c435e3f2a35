/**
 * Model of changes to the document. Three operators make one change each, two
 * of them to the same section, and two VMs put versions in force when they
 * learn of them.
 *
 * A change names the section version that its operator saw. The document is
 * invalid if both sections are set to `1`, which stands for one section
 * removing what the other refers to. VMs learn of versions from the store and
 * from peers, late and in any order.
 */
import { Guard } from "../guard.ts";
import type { GuardCheck, Specification, Step } from "../specification.ts";
import { Invariant } from "../specification.ts";

/** The changes, each with the section that it sets and the new value. */
const CHANGES = [
  { name: "a", section: 0, value: 1 },
  { name: "b", section: 0, value: 2 },
  { name: "c", section: 1, value: 1 },
] as const;

/** Maximum number of crashes of both VMs together. */
const MAX_CRASHES = 1;

const VM_NAMES = ["A", "B"] as const;

enum Stage {
  New = "0",
  /** The operator has read the section and prepared the change. */
  Prepared = "e",
  /** The commit is in progress. */
  Committing = "c",
  /** The commit's answer was lost, or it conflicted with another change. */
  Unconfirmed = "u",
  Accepted = "A",
  Refused = "R",
}

interface Section {
  readonly version: number;
  readonly value: number;
}

interface Change {
  readonly stage: Stage;
  /** Section version that the operator read. */
  readonly seenVersion: number;
  /** Document version that the commit was planned from. */
  readonly plannedHead: number;
  /** Section version that the commit was planned from. */
  readonly plannedVersion: number;
  /** Whether the change is in the document. */
  readonly applied: boolean;
}

interface Vm {
  /** Document version in force; also 0 before an incarnation's first load. */
  readonly inForce: number;
  /** Highest version that was in force on this VM in any incarnation. */
  readonly highest: number;
  /** Whether the present incarnation has loaded a version. */
  readonly loaded: boolean;
}

/** A state of the documents model. */
export interface DocumentsState {
  /** Newest committed version of the document. */
  readonly head: number;
  readonly sections: readonly Section[];
  readonly changes: readonly Change[];
  readonly vms: readonly Vm[];
  readonly crashes: number;
  /** Whether a change overwrote another one that its operator had not seen. */
  readonly hasLostUpdate: boolean;
}

type DocumentsStep = Step<DocumentsState>;

function updateAt<Item>(
  items: readonly Item[],
  index: number,
  change: Partial<Item>,
): readonly Item[] {
  return items.map((each, at) => at === index ? { ...each, ...change } : each);
}

function updateChange(
  state: DocumentsState,
  index: number,
  change: Partial<Change>,
): DocumentsState {
  return { ...state, changes: updateAt(state.changes, index, change) };
}

function isValid(values: readonly number[]): boolean {
  return !values.every((value) => value === 1);
}

/** Plans a commit from the present document, or refuses the change. */
function planCommit(
  state: DocumentsState,
  index: number,
  isOn: GuardCheck,
): DocumentsState {
  const { section, value } = CHANGES[index]!;
  const change = state.changes[index]!;
  const { version } = state.sections[section]!;
  if (change.applied && isOn(Guard.ChangeIdKept)) {
    return updateChange(state, index, { stage: Stage.Accepted });
  }
  const values = updateAt(state.sections, section, { value })
    .map((each) => each.value);
  const stale = version !== change.seenVersion &&
    isOn(Guard.SectionVersionChecked);
  if (stale || !isValid(values)) {
    return updateChange(state, index, { stage: Stage.Refused });
  }
  return updateChange(state, index, {
    stage: Stage.Committing,
    plannedHead: state.head,
    plannedVersion: version,
  });
}

function applyCommit(state: DocumentsState, index: number): DocumentsState {
  const { section, value } = CHANGES[index]!;
  const change = state.changes[index]!;
  const { version } = state.sections[section]!;
  const next = updateChange(state, index, { applied: true });
  return {
    ...next,
    head: state.head + 1,
    sections: updateAt(state.sections, section, {
      version: version + 1,
      value,
    }),
    hasLostUpdate: state.hasLostUpdate ||
      (change.seenVersion !== version && !change.applied),
  };
}

function listChangeSteps(
  state: DocumentsState,
  index: number,
  isOn: GuardCheck,
): DocumentsStep[] {
  const change = state.changes[index]!;
  const { name, section } = CHANGES[index]!;
  switch (change.stage) {
    case Stage.New: {
      const seenVersion = state.sections[section]!.version;
      const next = updateChange(state, index, {
        stage: Stage.Prepared,
        seenVersion,
      });
      return [{ label: `operator reads section for change ${name}`, next }];
    }
    case Stage.Prepared:
      return [{
        label: `change ${name}: sent`,
        next: planCommit(state, index, isOn),
      }];
    case Stage.Unconfirmed:
      return [{
        label: `change ${name}: sent again`,
        next: planCommit(state, index, isOn),
      }];
    case Stage.Committing:
      return listCommitSteps(state, index, isOn);
    default:
      return [];
  }
}

function listCommitSteps(
  state: DocumentsState,
  index: number,
  isOn: GuardCheck,
): DocumentsStep[] {
  const { name, section } = CHANGES[index]!;
  const change = state.changes[index]!;
  const checksWhole = isOn(Guard.WholeCheckedTogether);
  const conflict = checksWhole
    ? change.plannedHead !== state.head
    : change.plannedVersion !== state.sections[section]!.version;
  const createUnconfirmed = (from: DocumentsState) =>
    updateChange(from, index, { stage: Stage.Unconfirmed });
  if (conflict) {
    return [{
      label: `change ${name}: conflict`,
      next: createUnconfirmed(state),
    }];
  }
  const done = applyCommit(state, index);
  return [
    {
      label: `change ${name}: committed`,
      next: updateChange(done, index, { stage: Stage.Accepted }),
    },
    {
      label: `change ${name}: committed, answer lost`,
      next: createUnconfirmed(done),
    },
  ];
}

function listVmSteps(
  state: DocumentsState,
  index: number,
  isOn: GuardCheck,
): DocumentsStep[] {
  const vm = state.vms[index]!;
  const name = VM_NAMES[index]!;
  const putInForce = (inForce: number) => {
    const highest = Math.max(vm.highest, inForce);
    const change = { inForce, highest, loaded: true };
    return { ...state, vms: updateAt(state.vms, index, change) };
  };
  if (!vm.loaded) return listLoads(state, index, { putInForce, isOn });
  const steps: DocumentsStep[] = [];
  for (let version = 0; version <= state.head; version++) {
    if (version <= vm.inForce && isOn(Guard.DocumentVersionRises)) continue;
    const label = `${name} learns of version ${version}`;
    steps.push({ label, next: putInForce(version) });
  }
  if (state.crashes >= MAX_CRASHES) return steps;
  const vms = updateAt(state.vms, index, { inForce: 0, loaded: false });
  const next = { ...state, vms, crashes: state.crashes + 1 };
  return [...steps, { label: `${name} crash`, next }];
}

/**
 * A new incarnation loads the newest version from the store. A peer alone may
 * have an older version than the one that this VM had in force before.
 */
function listLoads(
  state: DocumentsState,
  index: number,
  options: {
    readonly putInForce: (version: number) => DocumentsState;
    readonly isOn: GuardCheck;
  },
): DocumentsStep[] {
  const name = VM_NAMES[index]!;
  const fromStore = {
    label: `${name} loads version ${state.head} from the store`,
    next: options.putInForce(state.head),
  };
  if (options.isOn(Guard.RestartReadsStore)) return [fromStore];
  const { inForce } = state.vms[1 - index]!;
  const label = `${name} loads version ${inForce} from its peer`;
  return [fromStore, { label, next: options.putInForce(inForce) }];
}

function findViolation(state: DocumentsState): Invariant | undefined {
  if (!isValid(state.sections.map((section) => section.value))) {
    return Invariant.DocumentValid;
  }
  if (state.hasLostUpdate) return Invariant.ChangesNotLost;
  const falselyRefused = state.changes
    .some((change) => change.stage === Stage.Refused && change.applied);
  if (falselyRefused) return Invariant.ToldRefusedWasNotApplied;
  const reverted = state.vms
    .some((vm) => vm.loaded && vm.inForce < vm.highest);
  return reverted ? Invariant.DocumentNeverReverts : undefined;
}

function formatChange(change: Change): string {
  const { stage, seenVersion, plannedHead, plannedVersion, applied } = change;
  const plan = stage === Stage.Committing
    ? `${plannedHead}${plannedVersion}`
    : "";
  return `${stage}${seenVersion}${plan}${applied ? "y" : "n"}`;
}

function formatVm(vm: Vm): string {
  return `${vm.inForce}${vm.highest}${vm.loaded ? "l" : "-"}`;
}

/** Model of changes to the document and of the versions in force. */
export const DOCUMENTS: Specification<DocumentsState> = {
  name: "documents",
  scope:
    "3 changes by 3 operators, 2 of them to one section; 2 VMs, 1 crash; VMs learn of versions late and in any order",
  guards: [
    Guard.SectionVersionChecked,
    Guard.WholeCheckedTogether,
    Guard.ChangeIdKept,
    Guard.DocumentVersionRises,
    Guard.RestartReadsStore,
  ],
  invariants: [
    Invariant.DocumentValid,
    Invariant.ChangesNotLost,
    Invariant.ToldRefusedWasNotApplied,
    Invariant.DocumentNeverReverts,
  ],
  createInitial: () => ({
    head: 0,
    sections: [{ version: 0, value: 0 }, { version: 0, value: 0 }],
    changes: CHANGES.map(() => ({
      stage: Stage.New,
      seenVersion: 0,
      plannedHead: 0,
      plannedVersion: 0,
      applied: false,
    })),
    vms: VM_NAMES.map(() => ({ inForce: 0, highest: 0, loaded: true })),
    crashes: 0,
    hasLostUpdate: false,
  }),
  listSteps: (state, isOn) => [
    ...CHANGES.flatMap((_change, index) => listChangeSteps(state, index, isOn)),
    ...VM_NAMES.flatMap((_name, index) => listVmSteps(state, index, isOn)),
  ],
  findViolation,
  formatState: (state) => {
    const sections = state.sections
      .map((section) => `${section.version}${section.value}`).join("");
    const changes = state.changes.map(formatChange).join(",");
    const vms = state.vms.map(formatVm).join("");
    return `${state.head}${sections}|${changes}|${vms}${state.crashes}` +
      `${state.hasLostUpdate ? "o" : "-"}`;
  },
};
