/**
 * Upper bound on the number of tokens in a prompt that holds for any byte-level
 * tokenizer.
 *
 * A byte-level tokenizer never produces more tokens than the prompt has bytes,
 * and a chat template adds a few tokens for each message and for each request.
 * The bound is loose for long prompts (about four times too large for English
 * text). When the request ends, the actual number of tokens is settled.
 */
import type { Bytes, Tokens } from "../../core/mod.ts";

/** Maximum number of tokens that a chat template may add for each message. */
export const TEMPLATE_TOKENS_PER_MESSAGE = 16;

/** Maximum number of tokens that a chat template may add for each request. */
export const TEMPLATE_TOKENS_PER_REQUEST = 64;

/** Returns the maximum number of tokens in a prompt of the given size. */
export function computePromptBound(
  promptBytes: Bytes,
  messages: number,
): Tokens {
  return promptBytes + messages * TEMPLATE_TOKENS_PER_MESSAGE +
    TEMPLATE_TOKENS_PER_REQUEST;
}
