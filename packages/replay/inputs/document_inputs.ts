/** Inputs for the decisions of packages/document. */
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
import { COUNT, createInput, NAME } from "../replay_input.ts";
import type { ReplayStore, StoreFault } from "../replay_store.ts";
import { STORE_FAULT } from "../replay_store.ts";

function createReader(store: ReplayStore): DocumentReader {
  return {
    read: (keys) => Promise.resolve(Right(store.read(keys))),
    scan: (prefix) => Promise.resolve(Right({ rows: store.list(prefix) })),
  };
}

/** Operations that commit a change are named by the receipt that they leave. */
const COMMIT_PREFIX = "document/receipt/";

/** An outage befalls every write; a lost or late answer only the commit's. */
function chooseFault(
  operation: RowOperation<unknown>,
  fault: StoreFault,
): StoreFault {
  const befalls = fault === "down" || operation.id.startsWith(COMMIT_PREFIX);
  return befalls ? fault : "ok";
}

/** Submits a change by way of a VM, from the document that the VM has. */
const submit = createInput(
  {
    vm: NAME,
    change: NAME,
    section: NAME,
    base: COUNT,
    text: z.string(),
    store: STORE_FAULT,
  },
  async ({ vm, change, section, base, text, store }, { fleet, now }) => {
    const life = fleet.getVm(vm);
    const result = await submitChange(
      {
        reader: createReader(fleet.store),
        run: (operation) => {
          const fault = chooseFault(operation, store);
          return Promise.resolve(fleet.store.run(operation, fault));
        },
      },
      life.document,
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

/** A VM brings its document up to the store's and puts it in force. */
const load = createInput({ vm: NAME }, async ({ vm }, { fleet }) => {
  const life = fleet.getVm(vm);
  const loaded = await loadDocument(createReader(fleet.store), life.document);
  life.document = loaded.unsafeCoerce().state;
  return { version: life.document.version };
});

/** Reads one section of the document in force on a VM. */
const readSection = createInput(
  { vm: NAME, section: NAME },
  ({ vm, section }, { fleet }) => {
    const { document } = fleet.getVm(vm);
    const state = document.sections.get(section);
    const text = state === undefined
      ? null
      : formatSection(state).orDefault("");
    return { version: document.version, text };
  },
);

/** Changes of the document. */
export const DOCUMENT_INPUTS: InputTable = {
  "document/submit": submit,
  "document/load": load,
  "document/read": readSection,
};
