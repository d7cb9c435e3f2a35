/**
 * Describes a text by what it shares with an earlier one: ranges of that text to
 * copy, and new text between them. Texts are cut after each closing brace, so
 * that the entries of a JSON document are compared as wholes; an edit costs the
 * entries that it touches, at any size of the document. Creating and applying a
 * delta take time in proportion to the texts, whatever they have in common.
 */

/** New text, or the start and end of a range of the base to copy. */
export type DeltaPart = string | readonly [start: number, end: number];

/** The parts of a text, in order. */
export type Delta = readonly DeltaPart[];

const PIECE_END = "}";

/** Where each piece of a text begins, in ascending order. */
type PieceIndex = ReadonlyMap<string, readonly number[]>;

/** Returns what makes a text from a base, see {@link applyDelta}. */
export function createDelta(base: string, text: string): Delta {
  const index = indexPieces(base);
  const parts: DeltaPart[] = [];
  let copied: [start: number, end: number] | undefined;
  for (const piece of splitPieces(text)) {
    const next = copied?.[1] ?? 0;
    const start = findPiece({ base, index }, { piece, next });
    if (start === undefined) {
      const last = parts.at(-1);
      if (typeof last === "string") parts[parts.length - 1] = last + piece;
      else parts.push(piece);
    } else if (
      copied !== undefined && parts.at(-1) === copied && start === next
    ) {
      copied[1] += piece.length;
    } else {
      copied = [start, start + piece.length];
      parts.push(copied);
    }
  }
  return parts;
}

/** Returns the text that a delta makes from the base that it was created for. */
export function applyDelta(base: string, delta: Delta): string {
  return delta.map((part) =>
    typeof part === "string" ? part : base.slice(...part)
  ).join("");
}

function* splitPieces(text: string): Generator<string> {
  for (let start = 0; start < text.length;) {
    const found = text.indexOf(PIECE_END, start);
    const end = found === -1 ? text.length : found + PIECE_END.length;
    yield text.slice(start, end);
    start = end;
  }
}

function indexPieces(text: string): PieceIndex {
  const index = new Map<string, number[]>();
  let start = 0;
  for (const piece of splitPieces(text)) {
    const known = index.get(piece);
    if (known === undefined) index.set(piece, [start]);
    else known.push(start);
    start += piece.length;
  }
  return index;
}

/**
 * Returns where a piece is in the base: at the end of the range copied last, or
 * else its next occurrence, or else its first one.
 */
function findPiece(
  { base, index }: { readonly base: string; readonly index: PieceIndex },
  { piece, next }: { readonly piece: string; readonly next: number },
): number | undefined {
  if (base.startsWith(piece, next)) return next;
  const starts = index.get(piece);
  if (starts === undefined) return undefined;
  let low = 0;
  for (let high = starts.length; low < high;) {
    const middle = (low + high) >> 1;
    if (starts[middle]! < next) low = middle + 1;
    else high = middle;
  }
  return starts[low] ?? starts[0];
}
