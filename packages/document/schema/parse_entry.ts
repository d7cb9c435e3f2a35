/** Parses the text of one entry of a section into its configuration. */
import { type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import {
  type CustomerConfig,
  type EventConfig,
  InputErrorKind,
  type ServiceConfig,
  type TeamConfig,
  type TeamId,
} from "../../core/mod.ts";
import { Container } from "../text/section_parts.ts";
import { InputErrorList, ObjectReader } from "./object_reader.ts";
import { readCustomer, readTeam } from "./read_customer.ts";
import { readEvent } from "./read_event.ts";
import { checkIdentifier } from "./read_identifier.ts";
import { readService } from "./read_service.ts";
import type { Reference } from "./reference.ts";
import { copyString } from "./share_values.ts";

/** The configuration that an entry defines, with its container. */
export type EntryConfig =
  | { readonly container: Container.Events; readonly config: EventConfig }
  | { readonly container: Container.Customers; readonly config: CustomerConfig }
  | { readonly container: Container.Services; readonly config: ServiceConfig }
  | { readonly container: Container.Teams; readonly config: TeamConfig };

/** A parsed entry; offsets of references are those of the parser. */
export interface ParsedEntry {
  readonly entry: EntryConfig;
  readonly references: readonly Reference[];
}

/**
 * Length of the brace that is put before an entry's text to parse it as an
 * object.
 */
const WRAPPER_LENGTH = 1;

/** Parses an entry; undefined when its text or value is not an object. */
export function parseEntry(
  text: string,
  options: {
    readonly container: Container;
    readonly path: string;
    readonly key: string;
    readonly team: TeamId;
    readonly errors: InputErrorList;
  },
): ParsedEntry | undefined {
  const root = parseObject(`{${text}}`, options);
  if (root === undefined) return undefined;
  const reader = new ObjectReader(root, options.path, options.errors);
  const { container, team } = options;
  const key = copyString(options.key);
  checkIdentifier(reader, key, reader.listKeys().get(key) ?? WRAPPER_LENGTH);
  const object = reader.readObject(key, { required: true });
  if (object === undefined) return undefined;
  const references: Reference[] = [];
  const entry = readEntry(object, { container, id: key, team, references });
  return { entry, references };
}

/** Converts an offset of the parser to an offset in the entry's text. */
export function computeEntryOffset(offset: number): number {
  return Math.max(0, offset - WRAPPER_LENGTH);
}

/**
 * Parses a text whose root must be an object and adds its syntax errors.
 * Returns undefined when there are any, or when the root is not an object.
 */
export function parseObject(
  text: string,
  options: { readonly path: string; readonly errors: InputErrorList },
) {
  const parseErrors: ParseError[] = [];
  const root = parseTree(text, parseErrors, { allowTrailingComma: true });
  for (const { error, offset } of parseErrors) {
    options.errors.add(InputErrorKind.Syntax, offset, {
      message: `${options.path} cannot be parsed: ${
        printParseErrorCode(error)
      }`,
      remedy:
        "Correct the text here; comments and trailing commas are allowed.",
    });
  }
  return parseErrors.length === 0 && root?.type === "object" ? root : undefined;
}

function readEntry(
  reader: ObjectReader,
  options: {
    readonly container: Container;
    readonly id: string;
    readonly team: TeamId;
    readonly references: Reference[];
  },
): EntryConfig {
  switch (options.container) {
    case Container.Events:
      return {
        container: Container.Events,
        config: readEvent(reader, options),
      };
    case Container.Customers:
      return {
        container: Container.Customers,
        config: readCustomer(reader, options),
      };
    case Container.Services:
      return {
        container: Container.Services,
        config: readService(reader, options),
      };
    case Container.Teams:
      return { container: Container.Teams, config: readTeam(reader, options) };
  }
}
