/**
 * Finds the members of one object in a JSON text with comments, without
 * building a tree of their values. The scan is iterative, so deep nesting cannot
 * exhaust the stack.
 */
import { createScanner, type JSONScanner } from "jsonc-parser";
import { type Either, Left, Right } from "purify-ts";

/** One `"key": value` of an object; all offsets refer to the scanned text. */
export interface Member {
  readonly key: string;
  /** Offset of the key's opening quote. */
  readonly keyOffset: number;
  readonly valueOffset: number;
  /** End of the value, exclusive. */
  readonly valueEnd: number;
  /** End after the comma and a comment on the same line, exclusive. */
  readonly end: number;
  readonly hasComma: boolean;
}

/** The members of one object. */
export interface ObjectMembers {
  readonly members: readonly Member[];
  /** Offset after the opening brace. */
  readonly start: number;
  /** Offset of the closing brace. */
  readonly end: number;
}

/** Position and description of a syntax error in a scanned text. */
export interface ScanError {
  readonly offset: number;
  readonly message: string;
}

/** Maximum nesting depth of objects and lists within a member's value. */
export const MAX_DEPTH = 32;

/**
 * Token kinds of jsonc-parser, whose const enum exists only at compile time.
 */
const Token = {
  OpenBrace: 1,
  CloseBrace: 2,
  OpenBracket: 3,
  CloseBracket: 4,
  Comma: 5,
  Colon: 6,
  String: 10,
  Unknown: 16,
  EndOfText: 17,
} as const;

/** Character codes that are significant when skipping a nested value. */
const Code = {
  LineFeed: 10,
  CarriageReturn: 13,
  Quote: 34,
  Star: 42,
  Slash: 47,
  OpenBracket: 91,
  Backslash: 92,
  CloseBracket: 93,
  OpenBrace: 123,
  CloseBrace: 125,
} as const;

/** Matches a comment that follows a member on the same line. */
const TRAILING_COMMENT =
  /[ \t]*(?:\/\/[^\n]*\n?|\/\*[^*\n]*\*\/[ \t]*(?=\r?\n))/y;

/** Returns the members of the object that starts at or after the offset. */
export function parseMembers(
  text: string,
  offset: number,
): Either<ScanError, ObjectMembers> {
  const scanner = createScanner(text, true);
  scanner.setPosition(offset);
  if (readToken(scanner) !== Token.OpenBrace) {
    return Left(createError(scanner, "an object in braces was expected"));
  }
  const start = scanner.getPosition();
  const members: Member[] = [];
  let token = readToken(scanner);
  while (token !== Token.CloseBrace) {
    const previous = members.at(-1);
    if (previous !== undefined && !previous.hasComma) {
      return Left(
        createError(scanner, "a comma or a closing brace is missing"),
      );
    }
    const member = parseMember(text, scanner, token);
    if (typeof member === "string") return Left(createError(scanner, member));
    members.push(member);
    token = scanner.getToken() === Token.Comma
      ? readToken(scanner)
      : scanner.getToken();
  }
  return Right({ members, start, end: scanner.getTokenOffset() });
}

/**
 * Returns an error when anything but whitespace and comments follows the
 * offset.
 */
export function checkEnd(text: string, offset: number): ScanError | undefined {
  const scanner = createScanner(text, true);
  scanner.setPosition(offset);
  if (readToken(scanner) === Token.EndOfText) return undefined;
  return createError(scanner, "unexpected text after the closing brace");
}

/**
 * Reads one member, or returns the description of a syntax error. The scanner
 * is left on the token after the member's value.
 */
function parseMember(
  text: string,
  scanner: JSONScanner,
  token: number,
): Member | string {
  if (token !== Token.String) return "a key in double quotes was expected";
  const key = scanner.getTokenValue();
  const keyOffset = scanner.getTokenOffset();
  if (readToken(scanner) !== Token.Colon) return "a colon was expected";
  readToken(scanner);
  const valueOffset = scanner.getTokenOffset();
  const error = skipValue(text, scanner);
  if (error !== undefined) return error;
  const valueEnd = scanner.getPosition();
  const hasComma = readToken(scanner) === Token.Comma;
  const tokenEnd = hasComma ? scanner.getPosition() : valueEnd;
  const end = findTrailingCommentEnd(text, tokenEnd);
  return { key, keyOffset, valueOffset, valueEnd, end, hasComma };
}

/**
 * Moves the scanner from the start to the end of a value. Returns the
 * description of a syntax error, if there is one.
 */
function skipValue(text: string, scanner: JSONScanner): string | undefined {
  const token: number = scanner.getToken();
  if (token === Token.OpenBrace || token === Token.OpenBracket) {
    const end = findNestedEnd(text, scanner.getTokenOffset());
    if (typeof end === "string") return end;
    scanner.setPosition(end);
    return undefined;
  }
  if (token === Token.EndOfText) return "unexpected end of the text";
  const isValue = !isSeparator(token) && token !== Token.CloseBrace &&
    token !== Token.CloseBracket;
  return isValue ? undefined : "a value was expected";
}

/**
 * Returns the offset after the object or list that starts at an offset, or the
 * description of a syntax error. Only braces, brackets, strings and comments are
 * recognized; all else is checked when the value is parsed.
 */
function findNestedEnd(text: string, offset: number): number | string {
  let depth = 0;
  let position = offset;
  while (position < text.length) {
    const code = text.charCodeAt(position);
    if (code === Code.Quote) {
      position = findStringEnd(text, position + 1);
      if (position < 0) return "a string is missing its closing quote";
    } else if (code === Code.Slash) {
      position = findCommentEnd(text, position);
    } else {
      position++;
      if (code === Code.OpenBrace || code === Code.OpenBracket) depth++;
      if (code === Code.CloseBrace || code === Code.CloseBracket) depth--;
      if (depth > MAX_DEPTH) return "objects and lists are nested too deeply";
      if (depth === 0) return position;
    }
  }
  return "unexpected end of the text";
}

/** Returns the offset after a string's closing quote; -1 when there is none. */
function findStringEnd(text: string, offset: number): number {
  let position = offset;
  while (position < text.length) {
    const code = text.charCodeAt(position);
    if (code === Code.Quote) return position + 1;
    if (code === Code.LineFeed || code === Code.CarriageReturn) return -1;
    position += code === Code.Backslash ? 2 : 1;
  }
  return -1;
}

function findCommentEnd(text: string, offset: number): number {
  const next = text.charCodeAt(offset + 1);
  if (next !== Code.Slash && next !== Code.Star) return offset + 1;
  const isLine = next === Code.Slash;
  const end = text.indexOf(isLine ? "\n" : "*/", offset + 2);
  if (end < 0) return text.length;
  return isLine ? end + 1 : end + 2;
}

function isSeparator(token: number): boolean {
  return token === Token.Comma || token === Token.Colon;
}

function findTrailingCommentEnd(text: string, offset: number): number {
  TRAILING_COMMENT.lastIndex = offset;
  return TRAILING_COMMENT.test(text) ? TRAILING_COMMENT.lastIndex : offset;
}

function readToken(scanner: JSONScanner): number {
  return scanner.scan();
}

function createError(scanner: JSONScanner, message: string): ScanError {
  return { offset: scanner.getTokenOffset(), message };
}
