/** Tests that each VM stays within its share of the store's write rate. */
import test from "ava";
import { computePresenceInterval } from "./presence_writer.ts";
import { RefillLimiter } from "./refill_limiter.ts";

test("refills and presence updates of all VMs stay within their shares of the store's write rate", (t) => {
  const writesPerSecond = 600;
  for (const vms of [1, 8, 79, 380]) {
    const limiter = new RefillLimiter();
    let refills = 0;
    for (let now = 0; now <= 60_000; now += 400) {
      limiter.accrue(now, { vms, writesPerSecond });
      while (limiter.hasPermit) {
        limiter.consume();
        refills++;
      }
    }
    const updates = 60_000 / computePresenceInterval({ vms, writesPerSecond });
    // The initial burst of 25 occurs once, not every minute.
    t.true(vms * (refills - 25) / 60 <= writesPerSecond * 0.4, String(vms));
    t.true(vms * updates / 60 <= writesPerSecond * 0.25 + 1e-9, String(vms));
  }
});

test("in a small fleet each periodic check may refill every customer", (t) => {
  const limiter = new RefillLimiter();
  let refills = 0;
  for (let now = 0; now < 60_000; now += 400) {
    limiter.accrue(now, { vms: 6, writesPerSecond: 600 });
    for (let customer = 0; customer < 10 && limiter.hasPermit; customer++) {
      limiter.consume();
      refills++;
    }
  }
  t.is(refills, 1_500);
});
