/** Prometheus metrics of one gateway. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { MILLIS_PER_SECOND } from "../core/mod.ts";
import type { StoreCall } from "../ports/mod.ts";
import { StoreTraffic } from "./store_traffic.ts";

/** Latency buckets; finer around typical latency goals of 0.2 to 1.2 s. */
const LATENCY_BUCKETS_SECONDS = [
  0.01,
  0.05,
  0.1,
  0.2,
  0.4,
  0.6,
  0.8,
  1,
  1.5,
  2.5,
  5,
  15,
];

/**
 * Buckets of calls to the store: an answer within a region takes some
 * milliseconds, one between regions some tens, and a feed waits for seconds.
 */
const STORE_BUCKETS_SECONDS = [
  0.005,
  0.01,
  0.02,
  0.05,
  0.075,
  0.1,
  0.15,
  0.2,
  0.3,
  0.5,
  1,
  3,
];

/** The gateway's metrics. */
export interface GatewayMetrics {
  readonly registry: Registry;
  readonly requests: Counter<"outcome">;
  readonly refusals: Counter<"reason">;
  readonly attempts: Counter<"end">;
  readonly openRequests: Gauge;
  readonly heldBytes: Gauge<"kind">;
  readonly callerConnections: Gauge;
  readonly callersClosed: Counter<"reason">;
  readonly firstByte: Histogram;
  readonly duration: Histogram;
  readonly tokensSpent: Counter;
  readonly tokensLent: Counter;
  readonly grantsTaken: Counter;
  readonly configurationVersion: Gauge;
  readonly configurationAge: Gauge;
  readonly settingsInfo: Gauge<"digest">;
  readonly settingsAppliedAt: Gauge;
  readonly targets: Gauge<"state">;
  readonly limitedTargets: Gauge;
  readonly coldTargets: Gauge;
  readonly evacuatedDataCentres: Gauge;
  readonly lostPaths: Gauge;
  readonly relayedForPeers: Gauge;
  readonly streamsTakenUp: Counter<"source">;
  readonly targetCrashes: Counter;
  readonly quarantinedParts: Gauge;
  readonly droppedLogLines: Counter;
  readonly storeCallDuration: Histogram<"kind" | "outcome">;
  readonly storeWaitingCalls: Gauge;
  readonly storeSentBytes: Counter<"kind" | "outcome">;
  readonly storeReceivedBytes: Counter<"kind" | "outcome">;
  /** Calls to the store by table, for the log. */
  readonly storeTraffic: StoreTraffic;
}

/** Creates the metrics in a registry of their own, one for each gateway. */
export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: "anvilrail_gateway_requests_total",
      help: "Requests that ended, by outcome.",
      labelNames: ["outcome"],
      registers,
    }),
    refusals: new Counter({
      name: "anvilrail_gateway_refusals_total",
      help: "Requests that the gateway answered itself, by reason.",
      labelNames: ["reason"],
      registers,
    }),
    attempts: new Counter({
      name: "anvilrail_gateway_attempts_total",
      help: "Attempts at targets, by how they ended.",
      labelNames: ["end"],
      registers,
    }),
    openRequests: new Gauge({
      name: "anvilrail_gateway_open_requests",
      help: "Requests in progress.",
      registers,
    }),
    heldBytes: new Gauge({
      name: "anvilrail_gateway_held_bytes",
      help: "Memory that requests and answers hold, by kind.",
      labelNames: ["kind"],
      registers,
    }),
    callerConnections: new Gauge({
      name: "anvilrail_gateway_caller_connections",
      help: "Open connections of callers.",
      registers,
    }),
    callersClosed: new Counter({
      name: "anvilrail_gateway_callers_closed_total",
      help: "Callers that were cut off to protect the VM, by reason.",
      labelNames: ["reason"],
      registers,
    }),
    firstByte: new Histogram({
      name: "anvilrail_gateway_first_byte_seconds",
      help: "Time from arrival to the first byte of a target's answer.",
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    duration: new Histogram({
      name: "anvilrail_gateway_request_seconds",
      help: "Time from arrival to the end of the answer.",
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    tokensSpent: new Counter({
      name: "anvilrail_gateway_tokens_spent_total",
      help: "Tokens settled against prepaid budgets.",
      registers,
    }),
    tokensLent: new Counter({
      name: "anvilrail_gateway_tokens_lent_total",
      help: "Tokens lent to other VMs.",
      registers,
    }),
    grantsTaken: new Counter({
      name: "anvilrail_gateway_grants_taken_total",
      help: "Grants taken from prepaid budgets.",
      registers,
    }),
    configurationVersion: new Gauge({
      name: "anvilrail_gateway_configuration_version",
      help: "Version of the configuration in force; 0 before the first.",
      registers,
    }),
    configurationAge: new Gauge({
      name: "anvilrail_gateway_configuration_age_seconds",
      help: "Time since the configuration was last known to be the newest.",
      registers,
    }),
    settingsInfo: new Gauge({
      name: "anvilrail_gateway_settings_info",
      help: "1 for the digest of the settings that all VMs have in common.",
      labelNames: ["digest"],
      registers,
    }),
    settingsAppliedAt: new Gauge({
      name: "anvilrail_gateway_settings_applied_timestamp_seconds",
      help: "Unix time at which the settings in effect were applied.",
      registers,
    }),
    targets: new Gauge({
      name: "anvilrail_gateway_targets",
      help: "Targets known, by state.",
      labelNames: ["state"],
      registers,
    }),
    limitedTargets: new Gauge({
      name: "anvilrail_gateway_limited_targets",
      help: "Targets whose answers name a limit on requests.",
      registers,
    }),
    coldTargets: new Gauge({
      name: "anvilrail_gateway_cold_targets",
      help: "Targets that tolerate few requests at present.",
      registers,
    }),
    evacuatedDataCentres: new Gauge({
      name: "anvilrail_gateway_evacuated_data_centres",
      help: "Data centres whose targets get no requests until further notice.",
      registers,
    }),
    lostPaths: new Gauge({
      name: "anvilrail_gateway_lost_paths",
      help: "Targets that this VM reaches over peers only.",
      registers,
    }),
    relayedForPeers: new Gauge({
      name: "anvilrail_gateway_relayed_connections",
      help: "Connections to targets that this VM relays for peers.",
      registers,
    }),
    streamsTakenUp: new Counter({
      name: "anvilrail_gateway_streams_taken_up_total",
      help:
        "Streams that callers took up again, by how their release is known.",
      labelNames: ["source"],
      registers,
    }),
    targetCrashes: new Counter({
      name: "anvilrail_gateway_target_crashes_total",
      help: "Crashes of targets that ended attempts of this VM.",
      registers,
    }),
    quarantinedParts: new Gauge({
      name: "anvilrail_gateway_quarantined_parts",
      help: "Prompt parts, or groups of them, whose requests are refused.",
      registers,
    }),
    droppedLogLines: new Counter({
      name: "anvilrail_gateway_log_lines_left_out_total",
      help: "Log lines left out to keep the volume bounded.",
      registers,
    }),
    storeCallDuration: new Histogram({
      name: "anvilrail_gateway_store_call_seconds",
      help: "Time of calls to the store, by kind and outcome.",
      labelNames: ["kind", "outcome"],
      buckets: STORE_BUCKETS_SECONDS,
      registers,
    }),
    storeWaitingCalls: new Gauge({
      name: "anvilrail_gateway_store_waiting_calls",
      help: "Calls to the store that wait to be sent.",
      registers,
    }),
    storeSentBytes: new Counter({
      name: "anvilrail_gateway_store_sent_bytes_total",
      help: "Bytes of the bodies sent to the store.",
      labelNames: ["kind", "outcome"],
      registers,
    }),
    storeReceivedBytes: new Counter({
      name: "anvilrail_gateway_store_received_bytes_total",
      help: "Bytes of the bodies received from the store.",
      labelNames: ["kind", "outcome"],
      registers,
    }),
    storeTraffic: new StoreTraffic(),
  };
}

/** Adds one call to the store to the metrics and to the sums for the log. */
export function recordStoreCall(
  metrics: GatewayMetrics,
  call: StoreCall,
): void {
  const labels = { kind: call.kind, outcome: call.outcome };
  metrics.storeCallDuration.observe(labels, call.duration / MILLIS_PER_SECOND);
  metrics.storeSentBytes.inc(labels, call.sentBytes);
  metrics.storeReceivedBytes.inc(labels, call.receivedBytes);
  metrics.storeTraffic.record(call);
}
