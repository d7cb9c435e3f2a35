/** Finds out who calls, by the hash of the key that the call carries. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { FleetConfiguration } from "../core/mod.ts";
import { type Caller, CallerRole } from "./api.ts";

/**
 * Returns the caller whose key is given; undefined when nobody's is. Every
 * known hash is compared, each in constant time, so that the time taken says
 * nothing of which key was near.
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

/** Returns the key of an `authorization` header. */
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
