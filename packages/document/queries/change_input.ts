/** An operator's request to change the document. */
import { createHash } from "node:crypto";
import type { TeamId, WallTime } from "../../core/mod.ts";
import type { ValueEdit } from "../commands/change_section.ts";

/**
 * The requested edit: a new text of the complete section, or new values of
 * entries.
 */
export type SectionEdit =
  | { readonly text: string }
  | { readonly values: readonly ValueEdit[] };

/** An operator's request to change one section. */
export interface ChangeInput {
  /**
   * Chosen by the operator's tool; a request repeated with its id is applied
   * once.
   */
  readonly changeId: string;
  readonly section: TeamId;
  /** Version of the section on which the change is based. */
  readonly baseVersion: number;
  readonly edit: SectionEdit;
  readonly author: string;
  readonly wallTime: WallTime;
}

/**
 * Returns a digest of the requested change. It depends only on the section, the
 * base version and the edit.
 */
export function computeInputDigest(input: ChangeInput): string {
  const { section, baseVersion, edit } = input;
  const content = JSON.stringify({ section, baseVersion, edit });
  return createHash("sha256").update(content).digest("hex");
}
