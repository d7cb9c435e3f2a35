/** A text that an operator wrote, and the places of characters in it. */
import type { TextPlace } from "../../core/mod.ts";

/** A text under a name, with lines and columns that start at 1. */
export class SourceText {
  readonly source: string;
  readonly text: string;
  #lineStarts: number[] | undefined;

  /** Takes the name that places are to show and the text itself. */
  constructor(source: string, text: string) {
    this.source = source;
    this.text = text;
  }

  /** Returns the place of the character at an offset. */
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
  let at = text.indexOf("\n");
  while (at >= 0) {
    starts.push(at + 1);
    at = text.indexOf("\n", at + 1);
  }
  return starts;
}

/** Returns the index of the last number that is at most the bound. */
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
