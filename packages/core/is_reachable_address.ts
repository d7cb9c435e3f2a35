/** Checks addresses that other processes have written to shared rows. */
import { isIPv4 } from "node:net";

const MAX_PORT = 65_535;

/** A host name; digits and dots alone have to be an IPv4 address. */
const HOST_NAME = /^(?![\d.]+$)[\w.-]+$/;

/**
 * Whether a text has the form `host:port` with a host and a port that can exist.
 * Ports out of range make `node:net` throw instead of reporting an error.
 */
export function isReachableAddress(text: string): boolean {
  const [host = "", port = "", ...rest] = text.split(":");
  return rest.length === 0 && (isIPv4(host) || HOST_NAME.test(host)) &&
    /^[1-9]\d{0,4}$/.test(port) &&
    Number(port) <= MAX_PORT;
}
