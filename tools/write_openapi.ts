/**
 * Writes `docs/openapi.json` from the routes of the admin API.
 *
 * Usage: `node dist/tools/write_openapi.js && npx deno fmt docs/openapi.json`.
 */
import { writeFileSync } from "node:fs";
import { createOpenApi } from "../packages/admin/mod.ts";

const text = JSON.stringify(createOpenApi(), null, 2);
writeFileSync("docs/openapi.json", `${text}\n`);
