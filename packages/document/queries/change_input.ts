/** What an operator asks for when the document is to change. */
import { createHash } from "node:crypto";
import type { TeamId, WallTime } from "../../core/mod.ts";
import type { ValueEdit } from "../commands/change_section.ts";

/** What is to change: the whole text of a section, or values of entries. */
export type SectionEdit =
  | { readonly text: string }
  | { readonly values: readonly ValueEdit[] };

/** A change that an operator asks for. */
export interface ChangeInput {
  /** Chosen by the operator's tool; a repeated id is applied once. */
  readonly changeId: string;
  readonly section: TeamId;
  /** Version of the section that the change was made from. */
  readonly baseVersion: number;
  readonly edit: SectionEdit;
  readonly author: string;
  readonly wallTime: WallTime;
}

/** Returns a digest of what a change asks for. */
export function computeInputDigest(input: ChangeInput): string {
  const { section, baseVersion, edit } = input;
  const content = JSON.stringify({ section, baseVersion, edit });
  return createHash("sha256").update(content).digest("hex");
}
