/**
 * Encodes the configuration's row for other VMs, whole or as what changed since
 * the text that they have, and decodes theirs.
 */
import { promisify } from "node:util";
import { gunzip, gzip } from "node:zlib";
import type { Bytes } from "../../../core/mod.ts";
import {
  addSteps,
  applySteps,
  computeTextDigest,
  type ConfigurationStep,
  createStep,
  findSteps,
  type NamedText,
  STEPS_SCHEMA,
} from "./configuration_steps.ts";

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Maximum size of a configuration's text. */
const MAX_TEXT_BYTES: Bytes = 16 * 1_048_576;

/** A text, and the steps by which it was received. */
export interface ReceivedText {
  readonly text: string;
  /** Absent if it was received whole. */
  readonly steps?: readonly ConfigurationStep[];
}

/** The text of the configuration in effect, and the changes that led to it. */
export class ConfigurationTexts {
  #newest: NamedText | undefined;
  #steps: readonly ConfigurationStep[] = [];
  /** What peers lately asked for, by the digest of their text. */
  readonly #formatted = new Map<string | undefined, Promise<string>>();

  /** The newest text; undefined before the first. */
  get newest(): NamedText | undefined {
    return this.#newest;
  }

  /** Makes a text the newest. */
  record({ text, steps }: ReceivedText): void {
    const before = this.#newest;
    if (text === before?.text) return;
    const newest = { text, digest: computeTextDigest(text) };
    this.#newest = newest;
    this.#formatted.clear();
    if (before === undefined) return;
    const isReceived = steps?.[0]?.from === before.digest &&
      steps.at(-1)?.to === newest.digest;
    this.#steps = addSteps(
      this.#steps,
      isReceived ? steps : [createStep(before, newest)],
    );
  }

  /** Returns the newest text, compressed, as base64. */
  formatWhole(): Promise<string> {
    return this.#format(undefined, () => this.#newest?.text ?? "");
  }

  /**
   * Returns the steps from a text to the newest, compressed, as base64;
   * undefined if they aren't known.
   *
   * @param base Digest of the text.
   */
  formatDifference(base: string): Promise<string> | undefined {
    const steps = findSteps(this.#steps, base);
    if (steps === undefined) return undefined;
    return this.#format(base, () => JSON.stringify(steps));
  }

  #format(
    base: string | undefined,
    createText: () => string,
  ): Promise<string> {
    const known = this.#formatted.get(base);
    if (known !== undefined) return known;
    const formatted = compress(createText())
      .then((compressed) => compressed.toString("base64"));
    this.#formatted.set(base, formatted);
    return formatted;
  }
}

/** Decodes a text that was sent whole. Rejects if it can't be read. */
export async function parseWhole(encoded: string): Promise<ReceivedText> {
  return { text: await readCompressed(encoded) };
}

/**
 * Decodes a text that was sent as what changed since another one. Rejects if it
 * can't be read or leads to another text than it names.
 */
export async function parseDifference(
  encoded: string,
  base: NamedText,
): Promise<ReceivedText> {
  const steps = STEPS_SCHEMA.parse(JSON.parse(await readCompressed(encoded)));
  return { text: applySteps(base, steps), steps };
}

async function readCompressed(encoded: string): Promise<string> {
  const text = await decompress(Buffer.from(encoded, "base64"), {
    maxOutputLength: MAX_TEXT_BYTES,
  });
  return text.toString("utf8");
}
