/** Authenticates callers by the SHA-256 hash of the key in their request. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { FleetConfiguration } from "../core/mod.ts";
import { type Caller, CallerRole } from "./api.ts";

/**
 * Returns the caller that a key belongs to; undefined for an unknown key. Every
 * known hash is compared, each in constant time, so that the duration does not
 * reveal which known hash the key's hash resembles.
 */
export function findCaller(
  key: string,
  input: {
    readonly configuration: FleetConfiguration;
    /** Hashes of the keys of the fleet's operators, from the settings. */
    readonly fleetKeyHashes: readonly string[];
  },
): Caller | undefined {
  const hash = createHash("sha256").update(key).digest();
  let found: Caller | undefined;
  for (const team of input.configuration.teams.values()) {
    if (hasHash(team.keyHashes, hash)) {
      found = { role: CallerRole.Team, team: team.id };
    }
  }
  if (hasHash(input.fleetKeyHashes, hash)) found = { role: CallerRole.Fleet };
  return found;
}

/**
 * Returns the key in an `authorization: Bearer` header; undefined if the header
 * is missing or malformed.
 */
export function parseBearer(header: string | undefined): string | undefined {
  return /^Bearer ([\x21-\x7e]{1,512})$/.exec(header ?? "")?.[1];
}

function hasHash(hashes: readonly string[], hash: Buffer): boolean {
  let found = false;
  for (const each of hashes) {
    const known = Buffer.from(each, "hex");
    const equal = known.length === hash.length && timingSafeEqual(known, hash);
    found = found || equal;
  }
  return found;
}
