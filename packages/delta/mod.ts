/** Differences between two versions of a text. */
export type { Delta, DeltaPart } from "./delta.ts";
export { applyDelta, createDelta } from "./delta.ts";
