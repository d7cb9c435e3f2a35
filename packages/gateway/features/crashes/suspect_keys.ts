/** What a request holds that may crash each target which begins to answer it. */
import { createHash } from "node:crypto";
import type { CustomerId } from "../../../core/mod.ts";
import { createRequestKey } from "../../../routing/mod.ts";
import type { CallerRequest } from "../../dialect.ts";

/** Number of characters of a digest, of 6 bits each. */
const DIGEST_CHARACTERS = 22;

/** Keys by which crashes are counted. */
export interface SuspectKeys {
  /**
   * Ids of the parts of the prompt, without the last, which belongs to one
   * request or session.
   */
  readonly sharedParts: readonly string[];
  /** Digest of all that repeats of the same request have in common. */
  readonly request: string;
  /** All parts and the request: what an answer that begins proves harmless. */
  readonly all: readonly string[];
}

/** Returns the keys of a request with its customer and body. */
export function createSuspectKeys(
  input: {
    readonly request: CallerRequest;
    readonly customer: CustomerId | undefined;
    readonly body: readonly Uint8Array[];
  },
): SuspectKeys {
  const { request, customer, body } = input;
  const { method, host, path } = request;
  const hash = createHash("sha256")
    .update(JSON.stringify([method, host, path, customer]));
  for (const part of body) hash.update(part);
  const digest = hash.digest("base64url");
  const key = createRequestKey(digest.slice(0, DIGEST_CHARACTERS));
  const parts = (request.prompt?.parts ?? []).map((part) => part.id);
  return {
    sharedParts: parts.slice(0, -1),
    request: key,
    all: [...parts, key],
  };
}
