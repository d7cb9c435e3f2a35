/**
 * The latest changes of the configuration's text, each as a delta from the text
 * before, so that a VM which has an earlier text gets what changed since and not
 * the whole. Texts are named by their digests, which a restore of the store
 * doesn't change.
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { Bytes } from "../../../core/mod.ts";
import { applyDelta, createDelta } from "../../../delta/mod.ts";

const STEP_SCHEMA = z.object({
  /** Digest of the text that the delta is applied to. */
  from: z.string(),
  /** Digest of the text that it makes. */
  to: z.string(),
  delta: z.array(
    z.union([z.string(), z.tuple([z.number(), z.number()])]),
  ).readonly(),
});

/** A text with the digest that names it. */
export interface NamedText {
  readonly text: string;
  readonly digest: string;
}

/** What leads from one text to the next. */
export type ConfigurationStep = z.infer<typeof STEP_SCHEMA>;

/** Steps as VMs send them to each other, in order. */
export const STEPS_SCHEMA = z.array(STEP_SCHEMA).min(1).readonly();

/** Maximum size of all steps that are kept. */
const MAX_KEPT_BYTES: Bytes = 262_144;

/** Returns the digest that names a text. */
export function computeTextDigest(text: string): string {
  return createHash("sha256").update(text).digest("base64url");
}

/** Returns the step from one text to another, with their digests. */
export function createStep(from: NamedText, to: NamedText): ConfigurationStep {
  // Slices of a string would keep the whole text in memory.
  const delta = structuredClone(createDelta(from.text, to.text)) as [];
  return { from: from.digest, to: to.digest, delta };
}

/**
 * Returns the steps to keep once others were added. Older ones are dropped where
 * they don't lead to those, or where all would be too large.
 */
export function addSteps(
  known: readonly ConfigurationStep[],
  added: readonly ConfigurationStep[],
): readonly ConfigurationStep[] {
  const isContinued = known.at(-1)?.to === added[0]?.from;
  const kept: ConfigurationStep[] = [];
  let bytes = 0;
  for (const step of [...(isContinued ? known : []), ...added].reverse()) {
    bytes += JSON.stringify(step).length;
    if (bytes > MAX_KEPT_BYTES) break;
    kept.unshift(step);
  }
  return kept;
}

/** Returns the steps from a text to the newest; undefined if they aren't known. */
export function findSteps(
  known: readonly ConfigurationStep[],
  from: string,
): readonly ConfigurationStep[] | undefined {
  const first = known.findLastIndex((step) => step.from === from);
  return first === -1 ? undefined : known.slice(first);
}

/**
 * Returns the text to which steps lead.
 *
 * @throws If they don't begin at the text's digest, or don't lead to their own.
 */
export function applySteps(
  base: NamedText,
  steps: readonly ConfigurationStep[],
): string {
  let { text } = base;
  for (const { delta } of steps) text = applyDelta(text, delta);
  if (steps[0]?.from !== base.digest) {
    throw new Error("the difference begins at another configuration");
  }
  if (steps.at(-1)?.to !== computeTextDigest(text)) {
    throw new Error("the difference leads to another text than it names");
  }
  return text;
}
