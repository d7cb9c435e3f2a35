/** The operators' document: sections of teams, versions, and what they mean. */
export { parseDocument } from "./queries/parse_document.ts";
