/** Replay inputs that call the code of packages/document. */
import { Right } from "purify-ts";
import { z } from "zod";
import type { RowOperation } from "../../core/mod.ts";
import type { DocumentReader } from "../../document/mod.ts";
import {
  formatSection,
  loadDocument,
  submitChange,
  SubmitState,
} from "../../document/mod.ts";
import type { InputTable } from "../replay_input.ts";
import { COUNT_SCHEMA, createInput, NAME_SCHEMA } from "../replay_input.ts";
import type { ReplayStore, StoreFault } from "../replay_store.ts";
import { STORE_FAULT_SCHEMA } from "../replay_store.ts";

function createReader(store: ReplayStore): DocumentReader {
  return {
    read: (keys) => Promise.resolve(Right(store.read(keys))),
    scan: (prefix) => Promise.resolve(Right({ rows: store.list(prefix) })),
  };
}

/**
 * Prefix of the ids of operations that commit a change: the key of its receipt.
 */
const COMMIT_PREFIX = "document/receipt/";

/**
 * Returns the fault of one operation of a change. An unavailable store affects
 * every write; a lost answer or a late write affects only the commit.
 */
function chooseFault(
  operation: RowOperation<unknown>,
  fault: StoreFault,
): StoreFault {
  const isAffected = fault === "down" || operation.id.startsWith(COMMIT_PREFIX);
  return isAffected ? fault : "ok";
}

/** Submits a change at a VM, based on the document that the VM has in force. */
const submit = createInput(
  {
    vm: NAME_SCHEMA,
    change: NAME_SCHEMA,
    section: NAME_SCHEMA,
    base: COUNT_SCHEMA,
    text: z.string(),
    store: STORE_FAULT_SCHEMA,
  },
  async ({ vm, change, section, base, text, store }, { fleet, now }) => {
    const replayVm = fleet.getVm(vm);
    const result = await submitChange(
      {
        reader: createReader(fleet.store),
        run: (operation) => {
          const fault = chooseFault(operation, store);
          return Promise.resolve(fleet.store.run(operation, fault));
        },
      },
      replayVm.document,
      {
        changeId: change,
        section,
        baseVersion: base,
        edit: { text },
        author: "operator",
        wallTime: now,
      },
    );
    switch (result.state) {
      case SubmitState.Accepted:
      case SubmitState.AcceptedBefore:
        return { state: result.state, version: result.version };
      case SubmitState.Refused:
        return { state: result.state, kind: result.refusal.kind };
      default:
        return { state: result.state };
    }
  },
);

/** Loads the newest document from the store and puts it in force on a VM. */
const load = createInput({ vm: NAME_SCHEMA }, async ({ vm }, { fleet }) => {
  const replayVm = fleet.getVm(vm);
  const loaded = await loadDocument(
    createReader(fleet.store),
    replayVm.document,
  );
  replayVm.document = loaded.unsafeCoerce().state;
  return { version: replayVm.document.version };
});

/** Reads one section of the document in force on a VM. */
const readSection = createInput(
  { vm: NAME_SCHEMA, section: NAME_SCHEMA },
  ({ vm, section }, { fleet }) => {
    const { document } = fleet.getVm(vm);
    const state = document.sections.get(section);
    const text = state === undefined
      ? null
      : formatSection(state).orDefault("");
    return { version: document.version, text };
  },
);

/** Inputs for changes of the document. */
export const DOCUMENT_INPUTS: InputTable = {
  "document/submit": submit,
  "document/load": load,
  "document/read": readSection,
};
