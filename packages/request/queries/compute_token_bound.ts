/**
 * Upper bounds on the tokens a request can use, whatever the tokenizer does.
 *
 * Byte-level tokenizers never make more tokens than there are bytes, and a chat
 * template adds a few tokens for each message and for the whole. The bound is
 * wide for long prompts (about four times too large for English text); it is
 * settled to the true figure when the request ends.
 */
import type { Bytes, Tokens } from "../../core/mod.ts";

/** Tokens that a chat template may add for each message. */
export const TEMPLATE_TOKENS_PER_MESSAGE = 16;

/** Tokens that a chat template may add once. */
export const TEMPLATE_TOKENS_PER_REQUEST = 64;

/** Returns the most tokens that a prompt of this size can become. */
export function computePromptBound(
  promptBytes: Bytes,
  messages: number,
): Tokens {
  return promptBytes + messages * TEMPLATE_TOKENS_PER_MESSAGE +
    TEMPLATE_TOKENS_PER_REQUEST;
}
