/**
 * Reads and validates values of a parsed JSON tree. All errors are collected
 * instead of stopping at the first, so that an operator sees them at once.
 */
import { closest, distance } from "fastest-levenshtein";
import type { Node } from "jsonc-parser";
import { type InputError, InputErrorKind } from "../../core/mod.ts";
import type { SourceText } from "../text/source_text.ts";
import { shareString } from "./share_values.ts";

/** Collects input errors with their positions in the source text. */
export class InputErrorList {
  readonly #source: SourceText;
  readonly #mapOffset: (offset: number) => number;
  readonly #errors: InputError[] = [];

  /** Takes the source text, and a mapping of node offsets to offsets in it. */
  constructor(
    source: SourceText,
    mapOffset: (offset: number) => number = (offset) => offset,
  ) {
    this.#source = source;
    this.#mapOffset = mapOffset;
  }

  /** Returns the errors collected so far. */
  list(): readonly InputError[] {
    return this.#errors;
  }

  /** Adds an error at the offset of a node. */
  add(
    kind: InputErrorKind,
    offset: number,
    details: { readonly message: string; readonly remedy: string },
  ): void {
    const place = this.#source.findPlace(this.#mapOffset(offset));
    this.#errors.push({ kind, ...details, place });
  }
}

/** Constraints of a number, both bounds inclusive. */
export interface NumberBounds {
  readonly min: number;
  readonly max: number;
  /** Whether only safe integers are allowed. */
  readonly integer?: boolean;
  /** Value when the key is absent; without it, the key is required. */
  readonly fallback?: number;
}

/** Reads the members of one object and reports invalid ones. */
export class ObjectReader {
  readonly path: string;
  readonly offset: number;
  readonly #errors: InputErrorList;
  readonly #members = new Map<string, Node>();
  readonly #keyOffsets = new Map<string, number>();

  /**
   * Takes the object's node, its path for messages, and the list that receives
   * errors.
   */
  constructor(node: Node, path: string, errors: InputErrorList) {
    this.path = path;
    this.offset = node.offset;
    this.#errors = errors;
    this.#collectMembers(node);
  }

  /**
   * Adds an error for each unknown key and suggests the most similar known one.
   */
  checkKeys(known: readonly string[]): void {
    for (const [key, offset] of this.#keyOffsets) {
      if (known.includes(key)) continue;
      this.#errors.add(InputErrorKind.UnknownKey, offset, {
        message: `${this.path} has an unknown key ${formatQuoted(key)}`,
        remedy: describeNearest(key, known),
      });
    }
  }

  /** Returns the keys with their offsets, in the order of the text. */
  listKeys(): ReadonlyMap<string, number> {
    return this.#keyOffsets;
  }

  /** Returns the node of a member's value; undefined when absent. */
  findNode(key: string): Node | undefined {
    return this.#members.get(key);
  }

  /**
   * Returns a reader of an object member; undefined when absent or of another
   * type.
   */
  readObject(
    key: string,
    options: { readonly required: boolean },
  ): ObjectReader | undefined {
    const node = this.#findTyped(key, "object", options.required);
    return node && new ObjectReader(node, `${this.path}.${key}`, this.#errors);
  }

  /**
   * Returns the items of a list member; empty when absent or of another type.
   */
  readList(
    key: string,
    options: { readonly required: boolean },
  ): readonly Node[] {
    return this.#findTyped(key, "array", options.required)?.children ?? [];
  }

  /** Returns the strings of a list member, each with its offset. */
  readStrings(
    key: string,
    options: { readonly required: boolean },
  ): readonly { readonly text: string; readonly offset: number }[] {
    return this.readList(key, options).flatMap((node) => {
      if (node.type === "string") {
        return [{ text: shareString(String(node.value)), offset: node.offset }];
      }
      this.#addWrongType(`${this.path}.${key}`, "string", node);
      return [];
    });
  }

  /**
   * Returns a string, or the fallback when absent; required without a fallback.
   */
  readString(key: string, fallback?: string): string {
    const node = this.#findTyped(key, "string", fallback === undefined);
    return node === undefined
      ? fallback ?? ""
      : shareString(String(node.value));
  }

  /** Returns a string, or undefined when absent. */
  readOptionalString(key: string): string | undefined {
    const node = this.#findTyped(key, "string", false);
    return node === undefined ? undefined : shareString(String(node.value));
  }

  /** Returns a boolean, or the fallback when absent. */
  readBoolean(key: string, fallback: boolean): boolean {
    const node = this.#findTyped(key, "boolean", false);
    return node === undefined ? fallback : node.value === true;
  }

  /**
   * Returns a number within its bounds. When it is invalid, adds an error and
   * returns the fallback or else the lower bound.
   */
  readNumber(key: string, bounds: NumberBounds): number {
    const fallback = bounds.fallback ?? bounds.min;
    const required = bounds.fallback === undefined;
    const node = this.#findTyped(key, "number", required);
    if (node === undefined) return fallback;
    const value = Number(node.value);
    const isValidType = bounds.integer !== true || Number.isSafeInteger(value);
    if (isValidType && value >= bounds.min && value <= bounds.max) return value;
    const numberType = bounds.integer === true ? "a whole number" : "a number";
    this.#errors.add(InputErrorKind.OutOfRange, node.offset, {
      message: `${this.path}.${key} is ${value}`,
      remedy: `Give ${numberType} from ${bounds.min} to ${bounds.max}.`,
    });
    return fallback;
  }

  /**
   * Returns one of the values of an enum. When it is invalid, adds an error,
   * unless it is an empty string, and returns the fallback or else the first
   * value.
   */
  readEnum<Value extends string>(
    key: string,
    enumObject: Readonly<Record<string, Value>>,
    fallback?: Value,
  ): Value {
    const values = Object.values(enumObject);
    const text = this.readString(key, fallback);
    const found = values.find((value) => value === text);
    if (found !== undefined) return found;
    const offset = this.findNode(key)?.offset;
    if (offset !== undefined && text !== "") {
      this.#errors.add(InputErrorKind.OutOfRange, offset, {
        message: `${this.path}.${key} is ${formatQuoted(text)}`,
        remedy: describeNearest(text, values),
      });
    }
    return fallback ?? values[0]!;
  }

  /** Adds an error at the offset of a node. */
  addError(
    kind: InputErrorKind,
    offset: number,
    details: { readonly message: string; readonly remedy: string },
  ): void {
    this.#errors.add(kind, offset, details);
  }

  #collectMembers(node: Node): void {
    for (const property of node.children ?? []) {
      const [keyNode, valueNode] = property.children ?? [];
      if (keyNode === undefined || valueNode === undefined) continue;
      const key = String(keyNode.value);
      if (this.#members.has(key)) {
        this.#errors.add(InputErrorKind.Duplicate, keyNode.offset, {
          message: `${this.path} has the key ${
            formatQuoted(key)
          } more than once`,
          remedy: "Keep only one.",
        });
        continue;
      }
      this.#members.set(key, valueNode);
      this.#keyOffsets.set(key, keyNode.offset);
    }
  }

  #findTyped(key: string, type: Node["type"], required: boolean) {
    const node = this.#members.get(key);
    if (node === undefined) {
      if (required) this.#addMissing(key, type);
      return undefined;
    }
    if (node.type === type) return node;
    this.#addWrongType(`${this.path}.${key}`, type, node);
    return undefined;
  }

  #addMissing(key: string, type: Node["type"]): void {
    this.#errors.add(InputErrorKind.MissingKey, this.offset, {
      message: `${this.path} is missing the key ${formatQuoted(key)}`,
      remedy: `Add ${formatQuoted(key)} with ${describeType(type)}.`,
    });
  }

  #addWrongType(path: string, type: Node["type"], node: Node): void {
    this.#errors.add(InputErrorKind.WrongType, node.offset, {
      message: `${path} is ${describeType(node.type)}`,
      remedy: `Give ${describeType(type)}.`,
    });
  }
}

/**
 * Returns a remedy that suggests the most similar known word, or lists known
 * words.
 */
export function describeNearest(
  word: string,
  known: readonly string[],
): string {
  if (known.length === 0) return "Remove it.";
  const nearest = closest(word.slice(0, MAX_WORD_LENGTH), known as string[]);
  const isTooDifferent = distance(word.slice(0, MAX_WORD_LENGTH), nearest) >
    Math.max(2, nearest.length / 2);
  const list = known.slice(0, MAX_LISTED_WORDS).join(", ");
  return isTooDifferent
    ? `Use one of: ${list}.`
    : `Did you mean ${formatQuoted(nearest)}?`;
}

/**
 * Quotes a word from the input for a message, truncated to a readable length.
 */
export function formatQuoted(word: string): string {
  const truncated = word.length > MAX_WORD_LENGTH
    ? `${word.slice(0, MAX_WORD_LENGTH)}...`
    : word;
  return JSON.stringify(truncated);
}

/**
 * Maximum length of the part of a word that is compared or shown, in
 * characters.
 */
const MAX_WORD_LENGTH = 80;

/** Maximum number of words that a remedy lists. */
const MAX_LISTED_WORDS = 20;

const TYPE_DESCRIPTIONS: Readonly<Record<Node["type"], string>> = {
  object: "an object",
  array: "a list",
  string: "a string",
  number: "a number",
  boolean: "true or false",
  null: "null",
  property: "a property",
};

function describeType(type: Node["type"]): string {
  return TYPE_DESCRIPTIONS[type];
}
