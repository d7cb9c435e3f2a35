/**
 * Invalid requests to a real daemon are refused with a clear message, run
 * nothing and leave no reservation.
 */
import { connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  callEntry,
  createChatBody,
  startTrialFleet,
  type TrialAnswer,
  type TrialCall,
  type TrialFleet,
} from "../trial/mod.ts";

const MAX_BODY_BYTES = 2_000;

async function startFleet(t: ExecutionContext): Promise<TrialFleet> {
  const fleet = await startTrialFleet({
    vms: 1,
    settings: {
      limits: { maxBodyBytes: MAX_BODY_BYTES, slowSenderMillis: 100 },
    },
  });
  t.teardown(() => fleet.kill());
  return fleet;
}

function readDump(fleet: TrialFleet): {
  readonly requests: { readonly inProgress: number };
  readonly accounts: readonly { grants: { reserved: number }[] }[];
} {
  return fleet.daemons[0]!.context.kernel.readDump() as never;
}

/** Asserts that nothing ran, nothing is reserved and the answer says so. */
function assertRefused(
  t: ExecutionContext,
  fleet: TrialFleet,
  answer: TrialAnswer,
): void {
  t.is(answer.outcome, "not-run");
  const { error } = JSON.parse(answer.text);
  t.regex(error.message, /[Nn]othing was done/);
  t.is(error.outcome, "not-run");
  const dump = readDump(fleet);
  t.is(dump.requests.inProgress, 0);
  for (const account of dump.accounts) {
    for (const grant of account.grants) t.is(grant.reserved, 0);
  }
  t.is(fleet.services[0]!.readRuns().size, 0);
  t.is(fleet.engines[0]!.readCounts().requests, 0);
}

const CHAT = { kind: "reply", body: createChatBody("hello") };
const BOOKING = { kind: "booking", requestKey: "k", body: {} };

type BadCall = Omit<TrialCall, "address"> & {
  readonly status: number;
  readonly reason: string;
};

const BAD_CALLS: Readonly<Record<string, BadCall>> = {
  "a body that is not JSON": {
    ...CHAT,
    body: "{messages",
    status: 400,
    reason: "bad-request",
  },
  "a chat without messages": {
    ...CHAT,
    body: { model: "m" },
    status: 400,
    reason: "bad-request",
  },
  "a chat that asks for two answers": {
    ...CHAT,
    body: { ...createChatBody("x"), n: 2 },
    status: 400,
    reason: "bad-request",
  },
  "a body above the bound": {
    ...CHAT,
    body: createChatBody("x".repeat(MAX_BODY_BYTES)),
    status: 413,
    reason: "body-too-large",
  },
  "an unknown event": {
    ...CHAT,
    event: "nowhere",
    status: 404,
    reason: "unknown-event",
  },
  "an unknown kind": {
    ...CHAT,
    kind: "poem",
    status: 404,
    reason: "unknown-kind",
  },
  "a wrong customer key": {
    ...CHAT,
    customerKey: "wrong",
    status: 401,
    reason: "bad-key",
  },
  "a key of another customer than the one named": {
    ...CHAT,
    customer: "other-tours",
    status: 401,
    reason: "bad-key",
  },
  "a booking without a key": {
    kind: "booking",
    body: {},
    status: 400,
    reason: "request-key-missing",
  },
  "a key that is too long": {
    ...BOOKING,
    requestKey: "k".repeat(201),
    status: 400,
    reason: "bad-request",
  },
  "a deadline below zero": {
    ...BOOKING,
    deadlineMillis: -1,
    status: 400,
    reason: "bad-request",
  },
};

for (const [name, { status, reason, ...call }] of Object.entries(BAD_CALLS)) {
  test(`${name} is refused, runs nothing and leaves no reservation`, async (t) => {
    const fleet = await startFleet(t);
    const address = fleet.daemons[0]!.callerAddress;
    const answer = await callEntry({ address, ...call });
    t.is(answer.status, status);
    t.is(answer.reason, reason);
    assertRefused(t, fleet, answer);
  });
}

test("a request whose body arrives too slowly is refused and leaves none in progress", async (t) => {
  const fleet = await startFleet(t);
  const address = fleet.daemons[0]!.callerAddress;
  const text = await sendRaw(
    address,
    [
      "POST /v1/chat/completions HTTP/1.1",
      "host: entry",
      "authorization: Bearer trial-customer-key",
      "x-anvilrail-event: tour-arrival",
      "x-anvilrail-kind: reply",
      "content-length: 100",
      "",
      '{"messages":',
    ].join("\r\n"),
  );
  t.regex(text, /^HTTP\/1\.1 408 /);
  t.regex(text, /slow-sender/);
  t.is(readDump(fleet).requests.inProgress, 0);
});

test("a request whose headers exceed the size limit is refused", async (t) => {
  const fleet = await startFleet(t);
  const address = fleet.daemons[0]!.callerAddress;
  const text = await sendRaw(
    address,
    `GET / HTTP/1.1\r\nx-large: ${"x".repeat(20_000)}\r\n\r\n`,
  );
  t.regex(text, /^HTTP\/1\.1 431 /);
});

test("without a key, only health and readiness checks are served", async (t) => {
  const fleet = await startFleet(t);
  const daemon = fleet.daemons[0]!;
  const read = async (address: string, path: string) =>
    (await fetch(`http://${address}${path}`)).status;
  t.is(await read(daemon.callerAddress, "/healthz"), 200);
  t.is(await read(daemon.callerAddress, "/readyz"), 200);
  t.is(await read(daemon.operatorAddress, "/healthz"), 200);
  for (const path of ["/metrics", "/v1/dump", "/v1/document", "/v1/budgets"]) {
    t.is(await read(daemon.operatorAddress, path), 401, path);
  }
  t.is(await read(daemon.peerAddress, "/ping"), 401);
});

function sendRaw(address: string, text: string): Promise<string> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host, () => socket.write(text));
    let answer = "";
    socket.on("data", (part) => (answer += part.toString("utf8")));
    socket.on("error", reject);
    socket.on("close", () => resolve(answer));
  });
}
