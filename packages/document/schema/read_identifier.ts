/** Validates identifiers and key hashes, which become parts of row keys. */
import { InputErrorKind } from "../../core/mod.ts";
import { formatQuoted, type ObjectReader } from "./object_reader.ts";

const IDENTIFIER = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const KEY_HASH = /^[0-9a-f]{64}$/;

/**
 * Returns whether a string is valid as the name of an event, customer, service
 * or target.
 */
export function isIdentifier(text: string): boolean {
  return IDENTIFIER.test(text);
}

/** Adds an error when a member's key is not a valid identifier. */
export function checkIdentifier(
  reader: ObjectReader,
  id: string,
  offset: number,
): void {
  if (isIdentifier(id)) return;
  reader.addError(InputErrorKind.OutOfRange, offset, {
    message: `${formatQuoted(id)} is not a valid name`,
    remedy:
      "Use 1 to 128 letters, digits, dots, dashes and underscores, beginning with a letter or digit.",
  });
}

/**
 * Returns the `keyHashes` of an object and adds an error for each invalid one.
 */
export function readKeyHashes(reader: ObjectReader): readonly string[] {
  const hashes = reader.readStrings("keyHashes", { required: true });
  for (const { text, offset } of hashes) {
    if (KEY_HASH.test(text)) continue;
    reader.addError(InputErrorKind.OutOfRange, offset, {
      message: `${reader.path}.keyHashes contains ${formatQuoted(text)}`,
      remedy:
        "Give the SHA-256 of the key as 64 lower-case hexadecimal digits.",
    });
  }
  return hashes.map((hash) => hash.text);
}
