/**
 * Runs a route: validates the query and the body, then calls the handler. Never
 * throws.
 */
import {
  AdminErrorKind,
  createBadRequest,
  createErrorAnswer,
} from "./answers.ts";
import type {
  AdminAnswer,
  AdminPorts,
  AdminRequest,
  AdminRoute,
} from "./api.ts";
import { BUDGET_ROUTES } from "./routes/budget_routes.ts";
import { DOCUMENT_ROUTES } from "./routes/document_routes.ts";
import { FLEET_ROUTES } from "./routes/fleet_routes.ts";

/** Every route of the administration API. */
export const ADMIN_ROUTES: readonly AdminRoute[] = [
  ...DOCUMENT_ROUTES,
  ...BUDGET_ROUTES,
  ...FLEET_ROUTES,
];

/**
 * Answers a request that matched the route's method and path. An error thrown by
 * the handler is answered with status 500.
 */
export async function runRoute(
  route: AdminRoute,
  request: AdminRequest,
  ports: AdminPorts,
): Promise<AdminAnswer> {
  const query = route.query?.safeParse(request.query);
  if (query?.success === false) return createBadRequest(query.error);
  const body = route.body?.safeParse(request.body);
  if (body?.success === false) return createBadRequest(body.error);
  const checked = body === undefined
    ? request
    : { ...request, body: body.data };
  try {
    return await route.handler(checked, ports);
  } catch (error) {
    return createErrorAnswer({
      kind: AdminErrorKind.Internal,
      message: error instanceof Error ? error.message : "The request failed.",
      remedy: "Look at this VM's log and report the error.",
    });
  }
}
