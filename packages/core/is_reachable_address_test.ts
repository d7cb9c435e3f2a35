/** Tests which addresses of other processes are used. */
import test from "ava";
import { isReachableAddress } from "./is_reachable_address.ts";

test("an address is reachable if its host and port can exist", (t) => {
  for (
    const text of [
      "127.0.0.1:1",
      "10.0.0.1:80",
      "vm-1.here:80",
      "255.1.1.1:65535",
    ]
  ) {
    t.true(isReachableAddress(text), text);
  }
  const others = [
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:080",
    "10.0.0.1:8e1",
    "10.0.0.1:",
    "10.0.0.1",
    "999.1.1.1:80",
    "10.0.1:80",
    ":80",
    "a host:80",
    "10.0.0.1:80:90",
    "",
  ];
  for (const text of others) t.false(isReachableAddress(text), text);
});
