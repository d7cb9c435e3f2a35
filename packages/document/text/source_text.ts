/** Converts offsets in an input text to line and column positions. */
import type { TextPlace } from "../../core/mod.ts";

/** A named text, with lines and columns that start at 1. */
export class SourceText {
  readonly source: string;
  readonly text: string;
  #lineStarts: number[] | undefined;

  /** Takes the name that positions show, and the text. */
  constructor(source: string, text: string) {
    this.source = source;
    this.text = text;
  }

  /** Returns the position of the character at an offset. */
  findPlace(offset: number): TextPlace {
    const starts = this.#readLineStarts();
    const line = findLastAtMost(starts, offset);
    return {
      source: this.source,
      line: line + 1,
      column: offset - (starts[line] ?? 0) + 1,
    };
  }

  #readLineStarts(): readonly number[] {
    this.#lineStarts ??= collectLineStarts(this.text);
    return this.#lineStarts;
  }
}

function collectLineStarts(text: string): number[] {
  const starts = [0];
  let lineEnd = text.indexOf("\n");
  while (lineEnd >= 0) {
    starts.push(lineEnd + 1);
    lineEnd = text.indexOf("\n", lineEnd + 1);
  }
  return starts;
}

/**
 * Returns the index of the last number that is at most the bound, by binary
 * search.
 */
function findLastAtMost(sorted: readonly number[], bound: number): number {
  let low = 0;
  let high = sorted.length - 1;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if ((sorted[middle] ?? 0) <= bound) low = middle;
    else high = middle - 1;
  }
  return low;
}
