/**
 * Reads values out of a parsed text and collects every fault on the way, so
 * that an operator sees all of them at once.
 */
import { closest, distance } from "fastest-levenshtein";
import type { Node } from "jsonc-parser";
import { type InputError, InputErrorKind } from "../../core/mod.ts";
import type { SourceText } from "../text/source_text.ts";
import { shareText } from "./share_values.ts";

/** Collects faults with their places. */
export class FaultList {
  readonly #text: SourceText;
  readonly #mapOffset: (offset: number) => number;
  readonly #faults: InputError[] = [];

  /** Takes the text and how offsets of nodes become offsets in it. */
  constructor(
    text: SourceText,
    mapOffset: (offset: number) => number = (offset) => offset,
  ) {
    this.#text = text;
    this.#mapOffset = mapOffset;
  }

  /** Returns what was found so far. */
  list(): readonly InputError[] {
    return this.#faults;
  }

  /** Adds a fault at an offset of a node. */
  add(
    kind: InputErrorKind,
    offset: number,
    words: { readonly message: string; readonly remedy: string },
  ): void {
    const place = this.#text.findPlace(this.#mapOffset(offset));
    this.#faults.push({ kind, ...words, place });
  }
}

/** The bounds of a number. */
export interface NumberBounds {
  readonly least: number;
  readonly most: number;
  readonly whole?: boolean;
  /** Value of an absent key; a key without one is required. */
  readonly fallback?: number;
}

/** Reads the members of one object. */
export class ObjectReader {
  readonly path: string;
  readonly offset: number;
  readonly #faults: FaultList;
  readonly #members = new Map<string, Node>();
  readonly #keyOffsets = new Map<string, number>();

  /** Takes the object's node, its path for messages, and where faults go. */
  constructor(node: Node, path: string, faults: FaultList) {
    this.path = path;
    this.offset = node.offset;
    this.#faults = faults;
    this.#collectMembers(node);
  }

  /** Refuses keys outside the known ones and names the nearest. */
  checkKeys(known: readonly string[]): void {
    for (const [key, offset] of this.#keyOffsets) {
      if (known.includes(key)) continue;
      this.#faults.add(InputErrorKind.UnknownKey, offset, {
        message: `${this.path} has an unknown key ${formatQuoted(key)}`,
        remedy: describeNearest(key, known),
      });
    }
  }

  /** Returns the keys with the offsets of their names, in the text's order. */
  listKeys(): ReadonlyMap<string, number> {
    return this.#keyOffsets;
  }

  /** Returns the node of a member. */
  findNode(key: string): Node | undefined {
    return this.#members.get(key);
  }

  /** Returns a reader of an object member; undefined when absent or faulty. */
  readObject(
    key: string,
    options: { readonly required: boolean },
  ): ObjectReader | undefined {
    const node = this.#findTyped(key, "object", options.required);
    return node && new ObjectReader(node, `${this.path}.${key}`, this.#faults);
  }

  /** Returns the items of a list member; empty when absent or faulty. */
  readList(
    key: string,
    options: { readonly required: boolean },
  ): readonly Node[] {
    return this.#findTyped(key, "array", options.required)?.children ?? [];
  }

  /** Returns a list of texts, each with its offset. */
  readTexts(
    key: string,
    options: { readonly required: boolean },
  ): readonly { readonly text: string; readonly offset: number }[] {
    return this.readList(key, options).flatMap((node) => {
      if (node.type === "string") {
        return [{ text: shareText(String(node.value)), offset: node.offset }];
      }
      this.#addWrongType(`${this.path}.${key}`, "string", node);
      return [];
    });
  }

  /** Returns a text; the fallback when absent, required without one. */
  readText(key: string, fallback?: string): string {
    const node = this.#findTyped(key, "string", fallback === undefined);
    return node === undefined ? fallback ?? "" : shareText(String(node.value));
  }

  /** Returns a text, or undefined when absent. */
  readOptionalText(key: string): string | undefined {
    const node = this.#findTyped(key, "string", false);
    return node === undefined ? undefined : shareText(String(node.value));
  }

  /** Returns a boolean, or the fallback when absent. */
  readFlag(key: string, fallback: boolean): boolean {
    const node = this.#findTyped(key, "boolean", false);
    return node === undefined ? fallback : node.value === true;
  }

  /** Returns a number within its bounds. */
  readNumber(key: string, bounds: NumberBounds): number {
    const fallback = bounds.fallback ?? bounds.least;
    const required = bounds.fallback === undefined;
    const node = this.#findTyped(key, "number", required);
    if (node === undefined) return fallback;
    const value = Number(node.value);
    const whole = bounds.whole !== true || Number.isSafeInteger(value);
    if (whole && value >= bounds.least && value <= bounds.most) return value;
    const sort = bounds.whole === true ? "a whole number" : "a number";
    this.#faults.add(InputErrorKind.OutOfRange, node.offset, {
      message: `${this.path}.${key} is ${value}`,
      remedy: `Give ${sort} from ${bounds.least} to ${bounds.most}.`,
    });
    return fallback;
  }

  /** Returns one of a closed set of words. */
  readWord<Word extends string>(
    key: string,
    words: Readonly<Record<string, Word>>,
    fallback?: Word,
  ): Word {
    const values = Object.values(words);
    const text = this.readText(key, fallback);
    const found = values.find((word) => word === text);
    if (found !== undefined) return found;
    const offset = this.findNode(key)?.offset;
    if (offset !== undefined && text !== "") {
      this.#faults.add(InputErrorKind.OutOfRange, offset, {
        message: `${this.path}.${key} is ${formatQuoted(text)}`,
        remedy: describeNearest(text, values),
      });
    }
    return fallback ?? values[0]!;
  }

  /** Adds a fault of this object. */
  addFault(
    kind: InputErrorKind,
    offset: number,
    words: { readonly message: string; readonly remedy: string },
  ): void {
    this.#faults.add(kind, offset, words);
  }

  #collectMembers(node: Node): void {
    for (const property of node.children ?? []) {
      const [keyNode, valueNode] = property.children ?? [];
      if (keyNode === undefined || valueNode === undefined) continue;
      const key = String(keyNode.value);
      if (this.#members.has(key)) {
        this.#faults.add(InputErrorKind.Duplicate, keyNode.offset, {
          message: `${this.path} has the key ${formatQuoted(key)} twice`,
          remedy: "Keep one of the two.",
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
    this.#faults.add(InputErrorKind.MissingKey, this.offset, {
      message: `${this.path} lacks the key ${formatQuoted(key)}`,
      remedy: `Add ${formatQuoted(key)} with ${describeType(type)}.`,
    });
  }

  #addWrongType(path: string, type: Node["type"], node: Node): void {
    this.#faults.add(InputErrorKind.WrongType, node.offset, {
      message: `${path} is ${describeType(node.type)}`,
      remedy: `Give ${describeType(type)}.`,
    });
  }
}

/** Returns a remedy that names the nearest of the known words. */
export function describeNearest(
  word: string,
  known: readonly string[],
): string {
  if (known.length === 0) return "Remove it.";
  const nearest = closest(word.slice(0, MAX_COMPARED), known as string[]);
  const far = distance(word.slice(0, MAX_COMPARED), nearest) >
    Math.max(2, nearest.length / 2);
  const list = known.slice(0, MAX_LISTED).join(", ");
  return far
    ? `Use one of: ${list}.`
    : `Did you mean ${formatQuoted(nearest)}?`;
}

/** Quotes a word of an operator for a message, cut to a length that fits. */
export function formatQuoted(word: string): string {
  const cut = word.length > MAX_COMPARED
    ? `${word.slice(0, MAX_COMPARED)}...`
    : word;
  return JSON.stringify(cut);
}

/** Longest part of a word that is compared or shown, in characters. */
const MAX_COMPARED = 80;

/** Most words that a remedy lists. */
const MAX_LISTED = 20;

const TYPE_WORDS: Readonly<Record<Node["type"], string>> = {
  object: "an object",
  array: "a list",
  string: "a text",
  number: "a number",
  boolean: "true or false",
  null: "null",
  property: "a member",
};

function describeType(type: Node["type"]): string {
  return TYPE_WORDS[type];
}
