/**
 * Finds what of a received head can't be sent on. Node's parser accepts more
 * than HTTP allows, and its writers throw on it.
 */
import { validateHeaderName, validateHeaderValue } from "node:http";
import { MIN_FINAL_STATUS } from "../../ports/mod.ts";
import type { Bytes } from "../../core/mod.ts";
import type { HeaderList } from "../dialect.ts";

/** Returns why headers aren't valid in HTTP, or undefined if they are. */
export function findInvalidHeader(headers: HeaderList): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]!;
    try {
      validateHeaderName(name);
      validateHeaderValue(name, headers[index + 1]!);
    } catch {
      return `the header ${JSON.stringify(name)} is not valid in HTTP`;
    }
  }
  return undefined;
}

/** Bytes of a header's line besides its name and value. */
const LINE_OVERHEAD: Bytes = ": \r\n".length;

/** Returns the size of headers as they are sent. */
export function computeHeaderBytes(headers: HeaderList): Bytes {
  const lines = headers.length / 2;
  // Node decodes headers as Latin-1: one character for each byte.
  return headers.reduce((sum, text) => sum + text.length, 0) +
    lines * LINE_OVERHEAD;
}

/** Returns why a head can't be that of a final answer, or undefined if it can. */
export function findInvalidHead(
  status: number,
  headers: HeaderList,
): string | undefined {
  if (status < MIN_FINAL_STATUS) {
    return `the status ${status} is not that of a final answer`;
  }
  return findInvalidHeader(headers);
}
