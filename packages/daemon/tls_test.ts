/** TLS on every server of the daemon, with client certificates between VMs. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request as startRequest } from "node:https";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { generate } from "selfsigned";
import { CUSTOMER_KEY, EVENT_ID, startTrialFleet } from "../trial/mod.ts";

const IP_NAME = 7;

async function writeCertificate(directory: string) {
  const pems = await generate([{ name: "commonName", value: "entry" }], {
    keySize: 2048,
    extensions: [
      { name: "basicConstraints", cA: true },
      {
        name: "subjectAltName",
        altNames: [{ type: IP_NAME, ip: "127.0.0.1" }],
      },
    ],
  });
  const certificateFile = join(directory, "cert.pem");
  const keyFile = join(directory, "key.pem");
  writeFileSync(certificateFile, pems.cert);
  writeFileSync(keyFile, pems.private);
  return { certificateFile, keyFile, pems };
}

function call(input: {
  readonly address: string;
  readonly ca: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}): Promise<{ readonly status: number; readonly text: string }> {
  return new Promise((resolve, reject) => {
    const outgoing = startRequest(`https://${input.address}${input.path}`, {
      method: "POST",
      ca: input.ca,
      headers: input.headers,
      agent: false,
    });
    outgoing.on("error", reject);
    outgoing.on("response", (incoming) => {
      let text = "";
      incoming.on("data", (part) => (text += part));
      incoming.on(
        "end",
        () => resolve({ status: incoming.statusCode ?? 0, text }),
      );
    });
    outgoing.end(input.body);
  });
}

test("two VMs with mutual TLS discover each other and serve callers over TLS", async (t) => {
  const directory = mkdtempSync(join(tmpdir(), "anvilrail-tls-"));
  t.teardown(() => rmSync(directory, { recursive: true }));
  const { certificateFile, keyFile, pems } = await writeCertificate(directory);
  const tls = {
    certificateFile,
    keyFile,
    authorityFile: certificateFile,
    requireClientCertificate: false,
  };
  const server = { host: "127.0.0.1", port: 0, tls };
  const fleet = await startTrialFleet({
    settings: {
      callers: server,
      operators: server,
      peers: { ...server, tls: { ...tls, requireClientCertificate: true } },
    },
  });
  t.teardown(() => fleet.kill());
  const headers = {
    authorization: `Bearer ${CUSTOMER_KEY}`,
    "x-anvilrail-event": EVENT_ID,
    "x-anvilrail-kind": "booking",
    "idempotency-key": "k",
  };
  for (const daemon of fleet.daemons) {
    // Both VMs know each other, so one of the two calls is forwarded.
    const members = daemon.context.kernel.readDump()["members"] as unknown[];
    t.is(members.length, 2);
    const address = daemon.callerAddress;
    const path = "/v1/calls";
    const ca = pems.cert;
    const answer = await call({ address, ca, path, headers, body: "{}" });
    t.is(answer.status, 200, answer.text);
  }
  t.is(fleet.services[0]!.readRuns().get("k"), 1);
  const address = fleet.daemons[0]!.peerAddress;
  const peer = { address, ca: pems.cert, path: "/ping", headers, body: "{}" };
  // Without a client certificate, the TLS handshake with the peer server fails.
  await t.throwsAsync(call(peer));
});
