/** Prometheus metrics of one gateway. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

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

/** The gateway's metrics. */
export interface GatewayMetrics {
  readonly registry: Registry;
  readonly requests: Counter<"outcome">;
  readonly refusals: Counter<"reason">;
  readonly attempts: Counter<"end">;
  readonly openRequests: Gauge;
  readonly firstByte: Histogram;
  readonly duration: Histogram;
  readonly tokensSpent: Counter;
  readonly tokensLent: Counter;
  readonly grantsTaken: Counter;
  readonly configurationVersion: Gauge;
  readonly targets: Gauge<"state">;
  readonly targetCrashes: Counter;
  readonly quarantinedParts: Gauge;
  readonly droppedLogLines: Counter;
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
    targets: new Gauge({
      name: "anvilrail_gateway_targets",
      help: "Targets known, by state.",
      labelNames: ["state"],
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
  };
}
