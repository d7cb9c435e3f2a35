/** Reads the configuration of customers and teams. */
import type { CustomerConfig, TeamConfig } from "../../core/mod.ts";
import type { ObjectReader } from "./object_reader.ts";
import { readKeyHashes } from "./read_identifier.ts";

const CUSTOMER_KEYS = ["keyHashes", "weight", "limits"];
const LIMIT_KEYS = [
  "requestsPerSecond",
  "tokensPerSecond",
  "concurrentRequests",
];
const TEAM_KEYS = ["keyHashes"];

const DEFAULT_REQUESTS_PER_SECOND = 100;
const DEFAULT_TOKENS_PER_SECOND = 100_000;
const DEFAULT_CONCURRENT_REQUESTS = 200;
const MAX_RATE = 1e9;
const MAX_WEIGHT = 1_000;
const MIN_WEIGHT = 0.001;

/** Reads the configuration of a customer. */
export function readCustomer(
  reader: ObjectReader,
  options: { readonly id: string },
): CustomerConfig {
  reader.checkKeys(CUSTOMER_KEYS);
  const limits = reader.readObject("limits", { required: false });
  limits?.checkKeys(LIMIT_KEYS);
  const readLimit = (key: string, fallback: number) =>
    limits?.readNumber(key, { min: 0, max: MAX_RATE, fallback }) ?? fallback;
  return {
    id: options.id,
    keyHashes: readKeyHashes(reader),
    weight: reader.readNumber("weight", {
      min: MIN_WEIGHT,
      max: MAX_WEIGHT,
      fallback: 1,
    }),
    limits: {
      requestsPerSecond: readLimit(
        "requestsPerSecond",
        DEFAULT_REQUESTS_PER_SECOND,
      ),
      tokensPerSecond: readLimit("tokensPerSecond", DEFAULT_TOKENS_PER_SECOND),
      concurrentRequests: readLimit(
        "concurrentRequests",
        DEFAULT_CONCURRENT_REQUESTS,
      ),
    },
  };
}

/** Reads the configuration of a team. */
export function readTeam(
  reader: ObjectReader,
  options: { readonly id: string },
): TeamConfig {
  reader.checkKeys(TEAM_KEYS);
  return { id: options.id, keyHashes: readKeyHashes(reader) };
}
