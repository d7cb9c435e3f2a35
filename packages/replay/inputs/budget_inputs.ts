/** Inputs for the decisions of packages/budget. */
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
import { COUNT, createInput, NAME } from "../replay_input.ts";
import { STORE_FAULT } from "../replay_store.ts";
import { describeStoreAnswer } from "./store_inputs.ts";

/** How long a grant takes reservations in a trace that names no term. */
const TERM = 600_000;

const ACCOUNT = { vm: NAME, event: NAME };

const take = createInput(
  {
    ...ACCOUNT,
    grant: NAME,
    wanted: COUNT,
    least: COUNT.default(1),
    limit: COUNT,
    term: COUNT.default(TERM),
    store: STORE_FAULT,
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

const reserve = createInput(
  { ...ACCOUNT, request: NAME, tokens: COUNT },
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

const settle = createInput(
  { ...ACCOUNT, request: NAME, spent: COUNT.optional() },
  ({ vm, event, request, spent }, { fleet, now }) => {
    const reservation = fleet.getVm(vm).reservations.get(request);
    if (reservation === undefined) {
      throw new Error(
        `Request ${request} has no reservation on ${vm}. Reserve for it first.`,
      );
    }
    const account = settleReservation(fleet.getAccount(vm, event), {
      reservation,
      now,
      ...(spent === undefined ? {} : { spent }),
    });
    fleet.putAccount(vm, account);
    fleet.getVm(vm).reservations.delete(request);
    fleet.recordSpent(event, spent ?? reservation.tokens);
    return { room: computeAccountRoom(account, now) };
  },
);

const close = createInput(
  { ...ACCOUNT, grant: NAME, limit: COUNT, store: STORE_FAULT },
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
    event: NAME,
    topUp: NAME,
    tokens: COUNT,
    limit: COUNT,
    store: STORE_FAULT,
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

const EVIDENCE = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal(LossEvidenceKind.LaterLife),
    vm: NAME,
    incarnation: NAME,
  }),
  z.strictObject({
    kind: z.literal(LossEvidenceKind.Unlisted),
    vm: NAME,
    incarnation: NAME,
    unlistedFor: COUNT,
    required: COUNT,
  }),
]);

const writeOff = createInput(
  { event: NAME, evidence: EVIDENCE, limit: COUNT, store: STORE_FAULT },
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

const askLoan = createInput(
  { ...ACCOUNT, transfer: NAME, lender: NAME, wanted: COUNT },
  ({ vm, event, transfer, lender, wanted }, { fleet, now }) => {
    const loan = { transferId: transfer, lender, wanted, askedAt: now };
    const account = recordLoanRequest(fleet.getAccount(vm, event), loan);
    fleet.putAccount(vm, account);
    return { pending: account.pendingLoans.map((each) => each.transferId) };
  },
);

const lend = createInput(
  {
    ...ACCOUNT,
    transfer: NAME,
    borrower: NAME,
    wanted: COUNT,
    least: COUNT.default(1),
    keep: COUNT.default(0),
  },
  (fields, { fleet, now }) => {
    const { vm, event, transfer, borrower, wanted, least, keep } = fields;
    const life = fleet.getVm(borrower);
    const { account, answer } = lendTokens(fleet.getAccount(vm, event), {
      request: {
        transferId: transfer,
        wanted,
        least,
        borrower: { vm: life.vm, incarnation: life.incarnation },
      },
      now,
      keep,
    });
    fleet.putAccount(vm, account);
    fleet.loanAnswers.set(transfer, answer);
    return { lent: answer.tokens, room: computeAccountRoom(account, now) };
  },
);

const credit = createInput(
  { ...ACCOUNT, transfer: NAME, term: COUNT.default(TERM) },
  ({ vm, event, transfer, term }, { fleet, now }) => {
    const answer = fleet.loanAnswers.get(transfer);
    if (answer === undefined) {
      throw new Error(`No loan ${transfer} was answered. Lend it first.`);
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

/** A borrower gives back what is left of a loan, in all its parts. */
const returnLoan = createInput(
  { ...ACCOUNT, transfer: NAME, limit: COUNT, store: STORE_FAULT },
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

/** The borrowed grants of a loan; their ids begin with the loan's. */
function findLoanParts(account: EventAccount, transfer: string): Grant[] {
  return account.grants
    .filter((grant) => grant.lenderGrantId !== undefined)
    .filter((grant) => grant.id.startsWith(transfer));
}

/**
 * Everything that a VM has to tell the table at this time, in one write. An
 * exchange whose write failed is sent again by the next one.
 */
const exchange = createInput(
  {
    ...ACCOUNT,
    grant: NAME,
    need: COUNT,
    lean: z.enum(BudgetPreference).default(BudgetPreference.FewerRefusals),
    last: z.boolean().default(false),
    limit: COUNT,
    term: COUNT.default(TERM),
    store: STORE_FAULT,
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

/** Reads the event as the table has it, and what targets really used. */
const read = createInput(
  { event: NAME },
  ({ event }, { fleet }) => {
    const [row] = fleet.store.read([formatBudgetKey(event)]);
    const budget = parseBudgetRow(row?.value ?? null).unsafeCoerce();
    return {
      limit: budget.limit,
      closed: budget.closed,
      granted: computeGranted(budget),
      left: computeBudgetLeft(budget),
      used: fleet.readSpent(event),
    };
  },
);

const room = createInput(
  ACCOUNT,
  ({ vm, event }, context) => ({ room: computeRoom(vm, event, context) }),
);

function computeRoom(
  vm: VmId,
  event: EventId,
  { fleet, now }: InputContext,
): number {
  return computeAccountRoom(fleet.getAccount(vm, event), now);
}

/** Grants, reservations, loans, top-ups and write-offs. */
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
