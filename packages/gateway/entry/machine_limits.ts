/** What of its machine's memory and descriptors a gateway gives to requests. */
import type { Bytes } from "../../core/mod.ts";
import type { GatewaySettings } from "../../settings/mod.ts";

const BYTES_PER_MEGABYTE: Bytes = 1_000_000;
const MEBIBYTE: Bytes = 1_048_576;

/** Limits of what all callers together may take. */
export interface MachineLimits {
  /** Memory that requests and answers may hold. */
  readonly requestBytes: Bytes;
  /** Connections of callers that may be open. */
  readonly connections: number;
  /** Size of the chunks after which their garbage is collected. */
  readonly uncollectedBytes: Bytes;
}

/**
 * Limits of a machine that the settings don't describe: 64 bodies of 4 MiB at a
 * time, and more connections than the usual limit on descriptors allows.
 */
const DEFAULT_LIMITS: MachineLimits = {
  requestBytes: 256 * MEBIBYTE,
  connections: 32_768,
  uncollectedBytes: Infinity,
};

/** Small beside the memory of the smallest machine. */
const UNCOLLECTED_BYTES: Bytes = 4 * MEBIBYTE;

/** Part of the machine's memory that the process may fill. */
const PROCESS_SHARE = 0.75;

/**
 * Memory of a process without requests: 85 MB at rest, and the young generation
 * of the heap, which grows to 24 MB under any load.
 */
const BASE_BYTES: Bytes = 110 * BYTES_PER_MEGABYTE;

/**
 * Part of the rest that requests may hold. What is released stays resident until
 * the next garbage collection.
 */
const REQUEST_SHARE = 0.5;

/** Enough for four bodies of 4 MiB, and for many small ones. */
const MIN_REQUEST_BYTES: Bytes = 24 * MEBIBYTE;

/**
 * Part of the descriptors for callers. The rest is reserved for the store, peers
 * and targets: a request in progress has one connection to a target.
 */
const CALLER_SHARE = 0.5;

/** Descriptors of the listeners, of logs and of probes of the accept queue. */
const OWN_DESCRIPTORS = 32;

const MIN_CONNECTIONS = 16;

/** Computes the limits of a machine; ample ones if it isn't described. */
export function computeMachineLimits(
  machine: GatewaySettings["machine"],
): MachineLimits {
  if (machine === undefined) return DEFAULT_LIMITS;
  const { memoryMegabytes, fileDescriptors } = machine;
  const available = memoryMegabytes * BYTES_PER_MEGABYTE * PROCESS_SHARE -
    BASE_BYTES;
  const connections = fileDescriptors * CALLER_SHARE - OWN_DESCRIPTORS;
  return {
    requestBytes: Math.min(
      DEFAULT_LIMITS.requestBytes,
      Math.max(MIN_REQUEST_BYTES, Math.floor(available * REQUEST_SHARE)),
    ),
    connections: Math.min(
      DEFAULT_LIMITS.connections,
      Math.max(MIN_CONNECTIONS, Math.floor(connections)),
    ),
    uncollectedBytes: UNCOLLECTED_BYTES,
  };
}
