/** Tests of calls to a platform whose machine has no power. */
import test from "ava";
import { DarkAddress } from "../stand_ins/mod.ts";
import { HttpTable } from "./mod.ts";

// Guards against calls to the store that end when TCP gives up.
test("calls to a store that has no power fail in time, also those that wait for a connection", async (t) => {
  const dark = await DarkAddress.start();
  const table = new HttpTable({ url: `http://${dark.address}`, timeout: 100 });
  const answers = await Promise.all(
    Array.from({ length: 20 }, () => table.read(["budget/tours"])),
  );
  t.true(answers.every((answer) => answer.isLeft()));
  await dark.close();
});
