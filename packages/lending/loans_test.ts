/** Tests of loan requests to peers. */
import test from "ava";
import { Right } from "purify-ts";
import { createEventAccount, type EventAccount } from "../budget/mod.ts";
import { createSystemClock } from "../core/mod.ts";
import type {
  PeerClient,
  PeerLoanAnswer,
  PeerLoanRequest,
} from "../peer/mod.ts";
import { createSilentLog } from "../runtime/mod.ts";
import { Loans } from "./mod.ts";

/** Creates the loans of one VM whose peers answer at once. */
function createLoans(
  peers: readonly string[],
  respond: (vm: string, request: PeerLoanRequest) => Partial<PeerLoanAnswer>,
) {
  let account: EventAccount = createEventAccount("tours");
  const client = {
    lend: (vm: string, request: PeerLoanRequest) =>
      Promise.resolve(Right({
        transferId: request.transferId,
        tokens: 0,
        parts: [],
        reserved: 0,
        ...respond(vm, request),
      })),
  };
  return new Loans({
    clock: createSystemClock(),
    log: createSilentLog(),
    vmIncarnation: { vm: "v1", incarnation: "1" },
    budgetField: "customer",
  }, {
    book: {
      readAccount: () => account,
      changeAccount: (_, change) => (account = change(account)),
      readWaitingTokens: () => 0,
      readShortfall: () => undefined,
    },
    client: client as unknown as PeerClient,
    listPeers: () => peers.map((vm) => ({ vm, address: vm })),
  });
}

test("after a peer that has no tokens the next peer is asked at once", async (t) => {
  const asked: string[] = [];
  const loans = createLoans(["v2", "v3", "v4"], (vm) => {
    asked.push(vm);
    return {};
  });
  for (let round = 0; round < 3; round++) {
    await loans.borrow("tours", { missing: 100, target: 100, fanout: 1 });
  }
  t.deepEqual(asked, ["v2", "v3", "v4"]);
});
