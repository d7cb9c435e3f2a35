/** Runs the demo end to end over real sockets. */
import test from "ava";
import { runDemo } from "./run_demo.ts";

test("every guarantee that the demo checks holds", async (t) => {
  const lines: string[] = [];
  t.true(await runDemo((line) => lines.push(line)), lines.join("\n"));
});
