/**
 * Parses and validates settings files and reports errors with their position.
 */
import { distance } from "fastest-levenshtein";
import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import {
  type InputError,
  InputErrorKind,
  type TextPlace,
} from "../core/mod.ts";
import { GATEWAY_SCHEMA, type GatewaySettings } from "./gateway_settings.ts";
import { type Settings, SETTINGS_SCHEMA } from "./settings.ts";

/** A settings text with its syntax tree. */
interface ParsedText {
  readonly text: string;
  readonly source: string;
  readonly root: Node;
  /** Schema whose keys are suggested in place of a misspelled key. */
  readonly schema: z.ZodType;
}

/**
 * Parses the settings of a gateway; returns all errors found if there are any.
 */
export function parseGatewaySettings(
  text: string,
  source: string,
): Either<readonly InputError[], GatewaySettings> {
  return parseText(text, { source, schema: GATEWAY_SCHEMA }).chain((parsed) =>
    validateSettings(parsed, GATEWAY_SCHEMA)
  );
}

/**
 * Parses the settings of a daemon; returns all errors found if there are any.
 */
export function parseSettings(
  text: string,
  source: string,
): Either<readonly InputError[], Settings> {
  return parseText(text, { source, schema: SETTINGS_SCHEMA })
    .chain((parsed) =>
      validateSettings(parsed, SETTINGS_SCHEMA).chain((settings) => {
        const peerKeyError = checkPeerKey(settings, parsed);
        return peerKeyError === undefined
          ? Right(settings)
          : Left([peerKeyError]);
      })
    );
}

function validateSettings<Value>(
  parsed: ParsedText,
  schema: z.ZodType<Value>,
): Either<readonly InputError[], Value> {
  const result = schema.safeParse(getNodeValue(parsed.root));
  if (result.success) return Right(result.data);
  return Left(
    result.error.issues.flatMap((issue) => describeIssue(issue, parsed)),
  );
}

function parseText(
  text: string,
  input: { readonly source: string; readonly schema: z.ZodType },
): Either<readonly InputError[], ParsedText> {
  const { source, schema } = input;
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (root !== undefined && errors.length === 0) {
    return Right({ text, source, root, schema });
  }
  if (errors.length === 0) return Left([createEmptyError(source)]);
  return Left(errors.map((error) => ({
    kind: InputErrorKind.Syntax,
    message: `The text is not JSON: ${printParseErrorCode(error.error)}`,
    remedy: "Correct the text at this position; comments are allowed.",
    place: computePlace(text, { source, offset: error.offset }),
  })));
}

function createEmptyError(source: string): InputError {
  return {
    kind: InputErrorKind.Syntax,
    message: "The text is empty",
    remedy: "Write the settings; the example settings show their format.",
    place: { source, line: 1, column: 1 },
  };
}

function describeIssue(
  issue: z.core.$ZodIssue,
  parsed: ParsedText,
): InputError[] {
  const path = issue.path as (string | number)[];
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => describeUnknownKey([...path, key], parsed));
  }
  const missing = issue.code === "invalid_type" &&
    findNodeAtLocation(parsed.root, path) === undefined;
  const name = path.join(".");
  if (missing) {
    return [{
      kind: InputErrorKind.MissingKey,
      message: `The setting ${name} is missing`,
      remedy: `Add it; the example settings show its format.`,
      place: findPlace(parsed, path.slice(0, -1)),
    }];
  }
  const kind = issue.code === "invalid_type"
    ? InputErrorKind.WrongType
    : InputErrorKind.OutOfRange;
  return [{
    kind,
    message: `The setting ${name} does not fit: ${issue.message}`,
    remedy: "Use a value in the format that the example settings show.",
    place: findPlace(parsed, path),
  }];
}

function describeUnknownKey(
  path: (string | number)[],
  parsed: ParsedText,
): InputError {
  const key = String(path.at(-1));
  const nearest = findNearestKey(key, parsed.schema);
  return {
    kind: InputErrorKind.UnknownKey,
    message: `There is no setting ${path.join(".")}`,
    remedy: nearest === undefined
      ? "Remove it."
      : `Did you mean ${nearest}? Otherwise remove it.`,
    place: findPlace(parsed, path),
  };
}

/** Maximum edit distance at which a known key is suggested. */
const MAX_KEY_DISTANCE = 4;

function findNearestKey(key: string, schema: z.ZodType): string | undefined {
  const scored = [...collectKeys(schema)]
    .map((known) => ({ known, distance: distance(key, known) }))
    .sort((left, right) => left.distance - right.distance);
  const nearest = scored[0];
  return nearest !== undefined && nearest.distance <= MAX_KEY_DISTANCE
    ? nearest.known
    : undefined;
}

function collectKeys(schema: unknown, keys = new Set<string>()): Set<string> {
  const definition = (schema as z.core.$ZodType)._zod?.def as {
    shape?: Record<string, unknown>;
    innerType?: unknown;
  };
  if (definition?.innerType !== undefined) {
    collectKeys(definition.innerType, keys);
  }
  for (const [key, value] of Object.entries(definition?.shape ?? {})) {
    keys.add(key);
    collectKeys(value, keys);
  }
  return keys;
}

function checkPeerKey(
  settings: Settings,
  parsed: ParsedText,
): InputError | undefined {
  if (settings.peerKey !== undefined || settings.peerKeyFile !== undefined) {
    return undefined;
  }
  return {
    kind: InputErrorKind.MissingKey,
    message: "Neither peerKey nor peerKeyFile is set",
    remedy: "Set peerKeyFile to a file that holds the entry VMs' shared key.",
    place: findPlace(parsed, []),
  };
}

function findPlace(
  parsed: ParsedText,
  path: readonly (string | number)[],
): TextPlace {
  let node = findNodeAtLocation(parsed.root, [...path]);
  // The position of the key is more useful than that of its value.
  if (node?.parent?.type === "property") node = node.parent;
  const offset = node?.offset ?? parsed.root.offset;
  return computePlace(parsed.text, { source: parsed.source, offset });
}

function computePlace(
  text: string,
  position: { readonly source: string; readonly offset: number },
): TextPlace {
  const before = text.slice(0, position.offset).split("\n");
  return {
    source: position.source,
    line: before.length,
    column: (before.at(-1) ?? "").length + 1,
  };
}
