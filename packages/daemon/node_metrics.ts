/** Prometheus metrics of one daemon. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Histogram buckets for the time to first token and the total time, in seconds. */
const LATENCY_BUCKETS_SECONDS = [
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1.1,
  2.5,
  5,
  10,
  30,
  60,
];

/** The daemon's metrics. */
export interface NodeMetrics {
  readonly registry: Registry;
  readonly requests: Counter<"kind" | "outcome">;
  readonly refusals: Counter<"kind" | "reason">;
  readonly openRequests: Gauge;
  readonly firstToken: Histogram<"priority">;
  readonly duration: Histogram<"priority">;
  readonly attempts: Counter<"service" | "end">;
  readonly tokensSpent: Counter;
  readonly grantsTaken: Counter;
  readonly storeRowsWritten: Gauge;
  readonly storeTransactions: Gauge;
  readonly storeWaiting: Gauge;
  readonly billsWaiting: Gauge;
  readonly documentVersion: Gauge;
  readonly members: Gauge<"state">;
}

/** Creates the metrics in a new registry. */
export function createNodeMetrics(): NodeMetrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: "anvilrail_requests_total",
      help: "Requests answered, by kind and outcome.",
      labelNames: ["kind", "outcome"],
      registers,
    }),
    refusals: new Counter({
      name: "anvilrail_refusals_total",
      help: "Requests refused, by kind and reason.",
      labelNames: ["kind", "reason"],
      registers,
    }),
    openRequests: new Gauge({
      name: "anvilrail_open_requests",
      help: "Requests in progress.",
      registers,
    }),
    firstToken: new Histogram({
      name: "anvilrail_first_token_seconds",
      help: "Time from a request's arrival to its first chunk.",
      labelNames: ["priority"],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    duration: new Histogram({
      name: "anvilrail_request_duration_seconds",
      help: "Time from a request's arrival to the end of its answer.",
      labelNames: ["priority"],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    attempts: new Counter({
      name: "anvilrail_attempts_total",
      help: "Attempts at targets, by service and how they ended.",
      labelNames: ["service", "end"],
      registers,
    }),
    tokensSpent: new Counter({
      name: "anvilrail_tokens_spent_total",
      help: "Tokens settled.",
      registers,
    }),
    grantsTaken: new Counter({
      name: "anvilrail_grants_taken_total",
      help: "Grants taken from budgets.",
      registers,
    }),
    storeRowsWritten: new Gauge({
      name: "anvilrail_store_rows_written",
      help: "Rows written to the table since the start.",
      registers,
    }),
    storeTransactions: new Gauge({
      name: "anvilrail_store_transactions",
      help: "Transactions committed since the start.",
      registers,
    }),
    storeWaiting: new Gauge({
      name: "anvilrail_store_waiting_operations",
      help: "Row operations that wait for the table.",
      registers,
    }),
    billsWaiting: new Gauge({
      name: "anvilrail_bills_waiting",
      help: "Bills that are not durable yet.",
      registers,
    }),
    documentVersion: new Gauge({
      name: "anvilrail_document_version",
      help: "Version of the document in force.",
      registers,
    }),
    members: new Gauge({
      name: "anvilrail_members",
      help: "Entry VMs as this one sees them, by state.",
      labelNames: ["state"],
      registers,
    }),
  };
}
