/** Runs the demo as a newcomer does: the whole path over real sockets. */
import test from "ava";
import { runDemo } from "./run_demo.ts";

test("every promise that the demo shows holds", async (t) => {
  const lines: string[] = [];
  t.true(await runDemo((line) => lines.push(line)), lines.join("\n"));
});
