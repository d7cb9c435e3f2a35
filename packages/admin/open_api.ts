/** Generates the OpenAPI description of the administration API from its routes. */
import { z } from "zod";
import type { AdminRoute } from "./api.ts";
import { ADMIN_ROUTES } from "./run_route.ts";

/** Descriptions of the statuses that every route may answer. */
const COMMON_STATUSES: Readonly<Record<number, string>> = {
  200: "The request succeeded",
  400: "The body cannot be read, or the request does not match its schema",
  401: "The key is missing or unknown",
  404: "The requested resource does not exist",
  500: "An internal error occurred on the VM",
  503: "The store could not be reached; nothing was changed",
};

const ERROR_REFERENCE = { $ref: "#/components/schemas/Error" };

/**
 * Returns the OpenAPI description. `docs/openapi.json` must be equal to it; a
 * test compares them.
 */
export function createOpenApi(): Record<string, unknown> {
  const paths: Record<string, Record<string, unknown>> = {};
  for (const route of ADMIN_ROUTES) {
    const path = route.path.replaceAll(/:([A-Za-z]+)/g, "{$1}");
    const method = route.method.toLowerCase();
    paths[path] = { ...paths[path], [method]: createOperation(route) };
  }
  return {
    openapi: "3.1.0",
    info: { title: "anvilrail administration API", version: "1" },
    security: [{ teamKey: [] }],
    paths,
    components: {
      securitySchemes: { teamKey: { type: "http", scheme: "bearer" } },
      schemas: { Error: createErrorSchema() },
    },
  };
}

function createOperation(route: AdminRoute): Record<string, unknown> {
  const parameters = [...listPathParameters(route), ...listQuery(route)];
  const operation: Record<string, unknown> = {
    operationId: route.name,
    summary: route.summary,
    ...(parameters.length > 0 && { parameters }),
    responses: createResponses(route),
  };
  if (route.body === undefined) return operation;
  const schema = createSchema(route.body);
  const content = { "application/json": { schema } };
  return { ...operation, requestBody: { required: true, content } };
}

function listPathParameters(route: AdminRoute) {
  return [...route.path.matchAll(/:([A-Za-z]+)/g)].map(([, name]) => ({
    name,
    in: "path",
    required: true,
    schema: { type: "string" },
  }));
}

function listQuery(route: AdminRoute) {
  return Object.entries(route.query?.shape ?? {}).map(([name, schema]) => ({
    name,
    in: "query",
    required: false,
    schema: createSchema(schema as z.ZodType),
  }));
}

function createResponses(route: AdminRoute) {
  const statuses = { ...COMMON_STATUSES, ...route.statuses };
  return Object.fromEntries(
    Object.entries(statuses).map(([status, description]) => {
      const schema = status === "200" ? { type: "object" } : ERROR_REFERENCE;
      const content = { "application/json": { schema } };
      return [status, { description, content }];
    }),
  );
}

function createSchema(schema: z.ZodType): Record<string, unknown> {
  const { $schema: _, ...rest } = z.toJSONSchema(schema, { io: "input" });
  return rest;
}

function createErrorSchema() {
  const text = { type: "string" };
  return {
    type: "object",
    required: ["error"],
    properties: {
      error: {
        type: "object",
        required: ["kind", "message", "remedy"],
        properties: { kind: text, message: text, remedy: text, details: {} },
      },
    },
  };
}
