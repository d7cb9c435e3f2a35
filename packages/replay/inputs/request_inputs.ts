/** Replay inputs that call the decision code of packages/request. */
import { z } from "zod";
import type { ClaimEnd, ClaimInput } from "../../request/mod.ts";
import {
  AdmitState,
  BILL_BATCH_PREFIX,
  collectBills,
  createBillBatch,
  createFinishClaim,
  createTakeClaim,
  describeHolder,
} from "../../request/mod.ts";
import type { InputContext, InputTable } from "../replay_input.ts";
import { COUNT_SCHEMA, createInput, NAME_SCHEMA } from "../replay_input.ts";
import { STORE_FAULT_SCHEMA } from "../replay_store.ts";
import { describeStoreAnswer } from "./store_inputs.ts";

const REQUEST_FIELDS = {
  vm: NAME_SCHEMA,
  customer: NAME_SCHEMA,
  key: NAME_SCHEMA,
  digest: NAME_SCHEMA,
};

const ATTEMPT_FIELDS = { ...REQUEST_FIELDS, attempt: COUNT_SCHEMA };

interface AttemptFields {
  readonly vm: string;
  readonly customer: string;
  readonly key: string;
  readonly digest: string;
  readonly attempt: number;
  /**
   * Incarnation of the VM whose attempt it is, if it is not the present one.
   */
  readonly life?: string | undefined;
}

function createClaim(
  fields: AttemptFields,
  { fleet, now }: InputContext,
): ClaimInput {
  return {
    customer: fields.customer,
    requestKey: fields.key,
    digest: fields.digest,
    vm: fields.vm,
    incarnation: fields.life ?? fleet.getVm(fields.vm).incarnation,
    attempt: fields.attempt,
    wallTime: now,
  };
}

/** Claims a call that may not be repeated. */
const claim = createInput(
  { ...ATTEMPT_FIELDS, store: STORE_FAULT_SCHEMA },
  (fields, context) => {
    const operation = createTakeClaim(createClaim(fields, context));
    const answer = context.fleet.store.run(operation, fields.store);
    return describeStoreAnswer(answer, ({ state, answer, holder }) => ({
      state,
      ...(answer === undefined ? {} : { status: answer.status }),
      ...(holder === undefined ? {} : { holder: holder.vm }),
    }));
  },
);

/** Ends a claim, with the outcome of its call. */
const finish = createInput(
  {
    ...ATTEMPT_FIELDS,
    end: z.enum(["ran", "not-run", "unknown"]),
    status: COUNT_SCHEMA.default(200),
    life: NAME_SCHEMA.optional(),
    store: STORE_FAULT_SCHEMA,
  },
  (fields, context) => {
    const end = createEnd(fields.end, fields.status);
    const operation = createFinishClaim(createClaim(fields, context), end);
    const answer = context.fleet.store.run(operation, fields.store);
    return describeStoreAnswer(answer, ({ finishedNow }) => ({
      finished: finishedNow,
    }));
  },
);

function createEnd(state: ClaimEnd["state"], status: number): ClaimEnd {
  if (state !== "ran") return { state };
  const answer = { status, contentType: "application/json", bodyBase64: "" };
  return { state, answer, tokens: 0 };
}

/** Returns what a VM concludes about the holder of a claim that it found. */
const holder = createInput(
  {
    vm: NAME_SCHEMA,
    holder: z.strictObject({
      vm: NAME_SCHEMA,
      incarnation: NAME_SCHEMA,
      attempt: COUNT_SCHEMA,
    }),
    inProgress: z.array(COUNT_SCHEMA).default([]),
    livesOver: z.array(NAME_SCHEMA).default([]),
  },
  ({ vm, holder, inProgress, livesOver }, { fleet }) => ({
    holder: describeHolder(holder, {
      self: { vm, incarnation: fleet.getVm(vm).incarnation },
      isInProgress: (attempt) => inProgress.includes(attempt),
      isLifeOver: (other, life) => livesOver.includes(`${other}/${life}`),
    }),
  }),
);

/** Admits a request: it starts a run, joins one, or gets a kept outcome. */
const admit = createInput(
  REQUEST_FIELDS,
  ({ vm, customer, key, digest }, { fleet, now }) => {
    const request = { customer, requestKey: key, digest };
    const result = fleet.getVm(vm).requests.admit(request, now);
    switch (result.state) {
      case AdmitState.Started:
      case AdmitState.Joined:
        return { state: result.state, run: result.run };
      case AdmitState.Kept:
        return { state: result.state, outcome: result.outcome };
      case AdmitState.OtherBody:
        return { state: result.state };
    }
  },
);

/** Ends a run; its outcome is kept for duplicates if there is one. */
const end = createInput(
  { vm: NAME_SCHEMA, run: COUNT_SCHEMA, outcome: NAME_SCHEMA.optional() },
  ({ vm, run, outcome }, { fleet, now }) => {
    const { requests } = fleet.getVm(vm);
    const keep = outcome === undefined ? {} : { keep: { outcome, bytes: 1 } };
    requests.finish(run, { now, ...keep });
    return { inProgress: requests.readCounts().inProgress };
  },
);

/** Writes a batch of bills. */
const bill = createInput(
  {
    vm: NAME_SCHEMA,
    number: COUNT_SCHEMA,
    bills: z.array(z.strictObject({
      customer: NAME_SCHEMA,
      key: NAME_SCHEMA,
      event: NAME_SCHEMA,
      tokens: COUNT_SCHEMA,
    })),
    store: STORE_FAULT_SCHEMA,
  },
  ({ vm, number, bills, store }, { fleet, now }) => {
    const operation = createBillBatch({
      vm,
      incarnation: fleet.getVm(vm).incarnation,
      number,
      bills: bills.map(({ customer, key, event, tokens }) => ({
        customer,
        requestKey: key,
        event,
        kind: "kind",
        tokens,
        endedAt: now,
      })),
    });
    const answer = fleet.store.run(operation, store);
    return describeStoreAnswer(answer, () => ({ durable: true }));
  },
);

/** Reads all bills in the store, counting duplicates of a request once. */
const billed = createInput({}, (_fields, { fleet }) => {
  const bills = collectBills(fleet.store.list(BILL_BATCH_PREFIX));
  return bills.map(({ customer, requestKey, tokens }) => ({
    customer,
    key: requestKey,
    tokens,
  }));
});

/** Inputs for claims, duplicate requests and bills. */
export const REQUEST_INPUTS: InputTable = {
  "request/claim": claim,
  "request/finish": finish,
  "request/holder": holder,
  "request/admit": admit,
  "request/end": end,
  "request/bill": bill,
  "request/billed": billed,
};
