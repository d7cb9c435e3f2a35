/** Tests of how routes and customers are found. */
import test from "ava";
import { Repeatability } from "../core/mod.ts";
import { AnswerForm, chooseService, RouteIndex } from "./mod.ts";
import type { GatewayConfiguration, RouteConfig } from "./mod.ts";

function createRoute(pathPrefix: string, host = "a.example"): RouteConfig {
  return {
    id: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    services: [{ service: "s", weight: 1 }],
    form: AnswerForm.Whole,
    repeatability: Repeatability.Once,
    resumable: false,
    timeout: 1_000,
    latencyGoal: 100,
    maxAttempts: 1,
    rank: 0,
    anonymous: false,
  };
}

function createIndex(routes: readonly RouteConfig[]): RouteIndex {
  const configuration: GatewayConfiguration = {
    version: 1,
    routes,
    services: new Map(),
    customers: [{ id: "tours", keys: ["k1", "k2"] }],
    requiresKeys: true,
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeout: 1,
      idleTimeout: 1,
    },
  };
  return new RouteIndex(configuration);
}

test("the longest prefix that ends at a slash of the path wins", (t) => {
  const index = createIndex([
    createRoute("/"),
    createRoute("/a/"),
    createRoute("/a/b/"),
    createRoute("/a/", "b.example"),
  ]);
  const find = (host: string, path: string) => index.findRoute(host, path)?.id;
  t.is(find("a.example", "/a/b/c"), "a.example/a/b/");
  t.is(find("a.example", "/a/bc"), "a.example/a/");
  t.is(find("a.example", "/ab/"), "a.example/");
  t.is(find("a.example", "/x?next=/a/b/"), "a.example/");
  t.is(find("A.Example:80", "/a/"), "a.example/a/");
  t.is(find("b.example", "/"), undefined);
  t.is(find("c.example", "/a/"), undefined);
});

test("each key leads to its customer, and another to none", (t) => {
  const index = createIndex([]);
  t.is(index.findCustomer("k2")?.id, "tours");
  t.is(index.findCustomer("k3"), undefined);
  t.is(index.findCustomer("__proto__"), undefined);
});

test("services are chosen by weight, and one of weight 0 never", (t) => {
  const route = {
    ...createRoute("/"),
    services: [
      { service: "none", weight: 0 },
      { service: "most", weight: 90 },
      { service: "few", weight: 10 },
    ],
  };
  t.is(chooseService(route, 0), "most");
  t.is(chooseService(route, 0.899), "most");
  t.is(chooseService(route, 0.901), "few");
  t.is(chooseService(route, 0.999_999), "few");
});
