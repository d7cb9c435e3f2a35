/** Replay inputs that call the decision code of packages/budget. */
import { z } from "zod";
import type { EventAccount, Grant } from "../../budget/mod.ts";
import {
  closeGrants,
  computeAccountRoom,
  computeBudgetLeft,
  computeGranted,
  createCloseGrant,
  createEventAccount,
  createGrantExchange,
  createTakeGrant,
  createTopUp,
  createWriteOff,
  dropGrant,
  formatBudgetKey,
  lendTokens,
  LossEvidenceKind,
  parseBudgetRow,
  planExchange,
  planLastExchange,
  receiveExchange,
  receiveGrant,
  receiveLoan,
  recordLoanRequest,
  reserveTokens,
  settleReservation,
} from "../../budget/mod.ts";
import { BudgetPreference } from "../../core/mod.ts";
import type { EventId, VmId } from "../../core/mod.ts";
import type { InputContext, InputTable } from "../replay_input.ts";
import { COUNT_SCHEMA, createInput, NAME_SCHEMA } from "../replay_input.ts";
import { STORE_FAULT_SCHEMA } from "../replay_store.ts";
import { describeStoreAnswer } from "./store_inputs.ts";

/** Default time in milliseconds for which a grant accepts reservations. */
const DEFAULT_TERM = 600_000;

const ACCOUNT_FIELDS = { vm: NAME_SCHEMA, event: NAME_SCHEMA };

/** Takes a grant from the budget row. */
const take = createInput(
  {
    ...ACCOUNT_FIELDS,
    grant: NAME_SCHEMA,
    wanted: COUNT_SCHEMA,
    least: COUNT_SCHEMA.default(1),
    limit: COUNT_SCHEMA,
    term: COUNT_SCHEMA.default(DEFAULT_TERM),
    store: STORE_FAULT_SCHEMA,
  },
  (fields, { fleet, now }) => {
    const { vm, event, grant, wanted, least, limit, term } = fields;
    const operation = createTakeGrant({
      eventId: event,
      grantId: grant,
      vm,
      incarnation: fleet.getVm(vm).incarnation,
      wanted,
      least,
      initialLimit: limit,
      wallTime: now,
    });
    const answer = fleet.store.run(operation, fields.store);
    return describeStoreAnswer(answer, ({ size, budgetLeft }) => {
      if (size > 0) {
        const received = { grantId: grant, size, deadline: now + term };
        const account = fleet.getAccount(vm, event);
        fleet.putAccount(vm, receiveGrant(account, received));
      }
      return { size, left: budgetLeft };
    });
  },
);

/** Reserves tokens of a VM's grants for a request. */
const reserve = createInput(
  { ...ACCOUNT_FIELDS, request: NAME_SCHEMA, tokens: COUNT_SCHEMA },
  ({ vm, event, request, tokens }, { fleet, now }) =>
    reserveTokens(fleet.getAccount(vm, event), { tokens, now }).caseOf<unknown>(
      {
        Left: ({ missing }) => ({ missing }),
        Right: ({ account, reservation }) => {
          fleet.putAccount(vm, account);
          fleet.getVm(vm).reservations.set(request, reservation);
          return { reserved: reservation.tokens };
        },
      },
    ),
);

/**
 * Settles a request's reservation; without `spent`, all of it counts as spent.
 */
const settle = createInput(
  { ...ACCOUNT_FIELDS, request: NAME_SCHEMA, spent: COUNT_SCHEMA.optional() },
  ({ vm, event, request, spent }, { fleet, now }) => {
    const reservation = fleet.getVm(vm).reservations.get(request);
    if (reservation === undefined) {
      throw new Error(
        `Request ${request} has no reservation on ${vm}. Reserve tokens for it first.`,
      );
    }
    const account = settleReservation(fleet.getAccount(vm, event), {
      reservation,
      now,
      ...(spent === undefined ? {} : { spent }),
    });
    fleet.putAccount(vm, account);
    fleet.getVm(vm).reservations.delete(request);
    fleet.recordUsedTokens(event, spent ?? reservation.tokens);
    return { room: computeAccountRoom(account, now) };
  },
);

/**
 * Closes a grant in the budget row once no request holds a reservation on it.
 */
const close = createInput(
  {
    ...ACCOUNT_FIELDS,
    grant: NAME_SCHEMA,
    limit: COUNT_SCHEMA,
    store: STORE_FAULT_SCHEMA,
  },
  ({ vm, event, grant, limit, store }, { fleet }) => {
    const account = closeGrants(fleet.getAccount(vm, event), [grant]);
    fleet.putAccount(vm, account);
    const held = account.grants.find((each) => each.id === grant);
    if (held === undefined) return { held: false };
    if (held.reserved > 0) return { reserved: held.reserved };
    const operation = createCloseGrant({
      eventId: event,
      grantId: grant,
      spent: held.spent,
      loans: held.loans,
      initialLimit: limit,
    });
    const answer = fleet.store.run(operation, store);
    return describeStoreAnswer(answer, (result) => {
      fleet.putAccount(vm, dropGrant(fleet.getAccount(vm, event), grant));
      return { closed: result.closedNow };
    });
  },
);

const topUp = createInput(
  {
    event: NAME_SCHEMA,
    topUp: NAME_SCHEMA,
    tokens: COUNT_SCHEMA,
    limit: COUNT_SCHEMA,
    store: STORE_FAULT_SCHEMA,
  },
  ({ event, topUp, tokens, limit, store }, { fleet, now }) => {
    const operation = createTopUp({
      eventId: event,
      topUpId: topUp,
      tokens,
      initialLimit: limit,
      wallTime: now,
    });
    const answer = fleet.store.run(operation, store);
    return describeStoreAnswer(answer, (result) => ({
      limit: result.limit,
      applied: result.appliedNow,
    }));
  },
);

const EVIDENCE_SCHEMA = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(LossEvidenceKind.LaterIncarnation),
    vm: NAME_SCHEMA,
    incarnation: NAME_SCHEMA,
  }),
  z.strictObject({
    kind: z.literal(LossEvidenceKind.Unlisted),
    vm: NAME_SCHEMA,
    incarnation: NAME_SCHEMA,
    unlistedFor: COUNT_SCHEMA,
    required: COUNT_SCHEMA,
  }),
]);

const writeOff = createInput(
  {
    event: NAME_SCHEMA,
    evidence: EVIDENCE_SCHEMA,
    limit: COUNT_SCHEMA,
    store: STORE_FAULT_SCHEMA,
  },
  ({ event, evidence, limit, store }, { fleet, now }) =>
    createWriteOff({
      eventId: event,
      evidence,
      initialLimit: limit,
      wallTime: now,
    }).caseOf<unknown>({
      Left: () => ({ refused: "weak-evidence" }),
      Right: (operation) =>
        describeStoreAnswer(fleet.store.run(operation, store), (result) => ({
          tokens: result.tokens,
          total: result.total,
        })),
    }),
);

/** Records at the borrower that it asks a lender for a loan. */
const askLoan = createInput(
  {
    ...ACCOUNT_FIELDS,
    transfer: NAME_SCHEMA,
    lender: NAME_SCHEMA,
    wanted: COUNT_SCHEMA,
  },
  ({ vm, event, transfer, lender, wanted }, { fleet, now }) => {
    const loan = { transferId: transfer, lender, wanted, askedAt: now };
    const account = recordLoanRequest(fleet.getAccount(vm, event), loan);
    fleet.putAccount(vm, account);
    return { pending: account.pendingLoans.map((each) => each.transferId) };
  },
);

/** The lender debits a loan and answers; the answer stays on the network. */
const lend = createInput(
  {
    ...ACCOUNT_FIELDS,
    transfer: NAME_SCHEMA,
    borrower: NAME_SCHEMA,
    wanted: COUNT_SCHEMA,
    least: COUNT_SCHEMA.default(1),
    keep: COUNT_SCHEMA.default(0),
  },
  (fields, { fleet, now }) => {
    const { vm, event, transfer, borrower, wanted, least, keep } = fields;
    const borrowerVm = fleet.getVm(borrower);
    const { account, answer } = lendTokens(fleet.getAccount(vm, event), {
      request: {
        transferId: transfer,
        wanted,
        least,
        borrower: { vm: borrowerVm.vm, incarnation: borrowerVm.incarnation },
      },
      now,
      keep,
    });
    fleet.putAccount(vm, account);
    fleet.loanAnswers.set(transfer, answer);
    return { lent: answer.tokens, room: computeAccountRoom(account, now) };
  },
);

/** The lender's answer arrives at the borrower, which credits the loan. */
const credit = createInput(
  {
    ...ACCOUNT_FIELDS,
    transfer: NAME_SCHEMA,
    term: COUNT_SCHEMA.default(DEFAULT_TERM),
  },
  ({ vm, event, transfer, term }, { fleet, now }) => {
    const answer = fleet.loanAnswers.get(transfer);
    if (answer === undefined) {
      throw new Error(
        `No lender answered loan ${transfer}. Use budget/lend first.`,
      );
    }
    const deadline = now + term;
    const before = fleet.getAccount(vm, event);
    const account = receiveLoan(before, { answer, deadline });
    fleet.putAccount(vm, account);
    return describeCredit(before, account, now);
  },
);

function describeCredit(
  before: EventAccount,
  after: EventAccount,
  now: number,
): unknown {
  const room = computeAccountRoom(after, now);
  return { credited: room - computeAccountRoom(before, now), room };
}

/**
 * Returns the unspent tokens of a loan, with all its parts, to the budget row.
 */
const returnLoan = createInput(
  {
    ...ACCOUNT_FIELDS,
    transfer: NAME_SCHEMA,
    limit: COUNT_SCHEMA,
    store: STORE_FAULT_SCHEMA,
  },
  ({ vm, event, transfer, limit, store }, { fleet, now }) => {
    const before = fleet.getAccount(vm, event);
    const parts = findLoanParts(before, transfer);
    if (parts.length === 0) return { held: false };
    const ids = parts.map((part) => part.id);
    fleet.putAccount(vm, closeGrants(before, ids));
    const reserved = parts.reduce((sum, part) => sum + part.reserved, 0);
    if (reserved > 0) return { reserved };
    const loans = { ...createEventAccount(event), grants: parts };
    const { exchange } = planLastExchange(loans, {
      now,
      need: 0,
      lean: BudgetPreference.FewerRefusals,
      grantId: `${transfer}/return`,
      holder: { vm, incarnation: fleet.getVm(vm).incarnation },
      initialLimit: limit,
      wallTime: now,
    });
    if (exchange === undefined) return { held: false };
    const answer = fleet.store.run(createGrantExchange(exchange), store);
    return describeStoreAnswer(answer, () => {
      const account = fleet.getAccount(vm, event);
      fleet.putAccount(vm, ids.reduce(dropGrant, account));
      const unspent = exchange.returns?.map((each) => each.unspent) ?? [];
      return { returned: unspent.reduce((sum, each) => sum + each, 0) };
    });
  },
);

/**
 * Returns the grants that were borrowed with a loan. Their ids begin with the
 * transfer id of the loan.
 */
function findLoanParts(account: EventAccount, transfer: string): Grant[] {
  return account.grants
    .filter((grant) => grant.lenderGrantId !== undefined)
    .filter((grant) => grant.id.startsWith(transfer));
}

/**
 * Sends all changes of a VM's grants that are due to the store in one write. An
 * exchange whose write failed is sent again with the next exchange.
 */
const exchange = createInput(
  {
    ...ACCOUNT_FIELDS,
    grant: NAME_SCHEMA,
    need: COUNT_SCHEMA,
    lean: z.enum(BudgetPreference).default(BudgetPreference.FewerRefusals),
    last: z.boolean().default(false),
    limit: COUNT_SCHEMA,
    term: COUNT_SCHEMA.default(DEFAULT_TERM),
    store: STORE_FAULT_SCHEMA,
  },
  (fields, { fleet, now }) => {
    const { vm, event, grant, need, lean, last, limit, term } = fields;
    const { incarnation } = fleet.getVm(vm);
    const plan = last ? planLastExchange : planExchange;
    const planned = plan(fleet.getAccount(vm, event), {
      now,
      need,
      lean,
      grantId: grant,
      holder: { vm, incarnation },
      initialLimit: limit,
      wallTime: now,
    });
    fleet.putAccount(vm, planned);
    if (planned.exchange === undefined) return { exchange: false };
    const operation = createGrantExchange(planned.exchange);
    const answer = fleet.store.run(operation, fields.store);
    return describeStoreAnswer(answer, (result) => {
      const deadline = now + term;
      fleet.putAccount(vm, receiveExchange(planned, { result, deadline }));
      return { size: result.size, left: result.budgetLeft };
    });
  },
);

/** Reads the budget row of an event, and the tokens that targets have used. */
const read = createInput(
  { event: NAME_SCHEMA },
  ({ event }, { fleet }) => {
    const [row] = fleet.store.read([formatBudgetKey(event)]);
    const budget = parseBudgetRow(row?.value ?? null).unsafeCoerce();
    return {
      limit: budget.limit,
      closed: budget.closed,
      granted: computeGranted(budget),
      left: computeBudgetLeft(budget),
      used: fleet.readUsedTokens(event),
    };
  },
);

/** Returns the tokens that a VM has available for reservations. */
const room = createInput(
  ACCOUNT_FIELDS,
  ({ vm, event }, context) => ({ room: computeRoom(vm, event, context) }),
);

function computeRoom(
  vm: VmId,
  event: EventId,
  { fleet, now }: InputContext,
): number {
  return computeAccountRoom(fleet.getAccount(vm, event), now);
}

/** Inputs for grants, reservations, loans, top-ups and write-offs. */
export const BUDGET_INPUTS: InputTable = {
  "budget/take": take,
  "budget/reserve": reserve,
  "budget/settle": settle,
  "budget/close": close,
  "budget/top-up": topUp,
  "budget/write-off": writeOff,
  "budget/ask-loan": askLoan,
  "budget/lend": lend,
  "budget/credit": credit,
  "budget/return": returnLoan,
  "budget/exchange": exchange,
  "budget/read": read,
  "budget/room": room,
};
