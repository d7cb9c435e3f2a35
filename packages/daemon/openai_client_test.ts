/** The official OpenAI client library works with a real daemon. */
import test from "ava";
import OpenAI from "openai";
import { CUSTOMER_KEY, EVENT_ID, startTrialFleet } from "../trial/mod.ts";

const ANSWER_TOKENS = 12;

test("the OpenAI client gets a chat completion with and without streaming", async (t) => {
  const fleet = await startTrialFleet({
    engines: [{ answerTokens: ANSWER_TOKENS }],
  });
  t.teardown(() => fleet.kill());
  const client = new OpenAI({
    apiKey: CUSTOMER_KEY,
    baseURL: `http://${fleet.daemons[0]!.callerAddress}/v1`,
    maxRetries: 0,
    defaultHeaders: {
      "x-anvilrail-event": EVENT_ID,
      "x-anvilrail-kind": "reply",
    },
  });
  const request = {
    model: "stand-in",
    messages: [{ role: "user" as const, content: "Where is gate 4?" }],
  };
  const stream = await client.chat.completions.create({
    ...request,
    stream: true,
  });
  let streamed = "";
  for await (const chunk of stream) {
    streamed += chunk.choices[0]?.delta.content ?? "";
  }
  t.is(streamed.trim().split(" ").length, ANSWER_TOKENS);
  const completion = await client.chat.completions.create(request);
  t.is(completion.choices[0]?.message.content, streamed);
  t.is(completion.usage?.completion_tokens, ANSWER_TOKENS);
  const refused = client.chat.completions.create(request, {
    headers: { "x-anvilrail-kind": "poem" },
  });
  const error = await t.throwsAsync(refused, { instanceOf: OpenAI.APIError });
  t.is(error.status, 404);
  t.is(error.code, "unknown-kind");
});
