/** The administration API: routes, handlers and their description. */
export type { AdminFaceOptions } from "./admin_face.ts";
export { AdminHttpHandler, MAX_ADMIN_BODY } from "./admin_face.ts";
export { AdminErrorKind, createErrorAnswer } from "./answers.ts";
export type {
  AdminAnswer,
  AdminHandler,
  AdminPorts,
  AdminRequest,
  AdminRoute,
  Caller,
} from "./api.ts";
export { AdminMethod, CallerRole } from "./api.ts";
export { findCaller, parseBearer } from "./authenticate.ts";
export { createOpenApi } from "./open_api.ts";
export type { AuditEntry } from "./rows/audit.ts";
export { AUDIT_PREFIX } from "./rows/audit.ts";
export { ADMIN_ROUTES, runRoute } from "./run_route.ts";
