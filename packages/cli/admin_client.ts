/** Client of a VM's administration API that prints answers and errors. */
import { readFileSync } from "node:fs";
import process from "node:process";
import type { Argv } from "yargs";
import type { JsonValue, Millis } from "../core/mod.ts";
import { sendJsonRequest } from "../ports/mod.ts";
import { ExitCode } from "./exit_code.ts";

/** Options of every command that calls the administration API. */
export interface AdminOptions {
  readonly vm: string;
  readonly keyFile: string | undefined;
  readonly json: boolean;
}

/** One request to the API. */
export interface AdminCall {
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly body?: unknown;
}

/** Environment variable that holds the key if `--key-file` is not given. */
export const KEY_VARIABLE = "ANVILRAIL_KEY";

const CALL_TIMEOUT: Millis = 30_000;

/** Adds the options that every command calling the administration API has. */
export function addAdminOptions<Options>(
  parser: Argv<Options>,
): Argv<Options & AdminOptions> {
  return parser
    .option("vm", {
      type: "string",
      default: "http://127.0.0.1:8081",
      describe: "URL of a VM's server for operators",
    })
    .option("key-file", {
      type: "string",
      describe:
        `file with your key (default: environment variable ${KEY_VARIABLE})`,
    })
    .option("json", {
      type: "boolean",
      default: false,
      describe: "print the answer as JSON",
    }) as unknown as Argv<Options & AdminOptions>;
}

/**
 * Calls the API and returns the answer's body. On an error, prints it, sets the
 * exit code and returns undefined.
 */
export async function callAdmin(
  options: AdminOptions,
  call: AdminCall,
): Promise<JsonValue | undefined> {
  const answer = await sendJsonRequest({
    method: call.method,
    url: `${options.vm}${call.path}`,
    headers: { authorization: `Bearer ${readKey(options)}` },
    idleTimeout: CALL_TIMEOUT,
    connectTimeout: CALL_TIMEOUT,
    ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
  });
  return answer.caseOf<JsonValue | undefined>({
    Left: (failure) => {
      console.error(
        `${options.vm} cannot be reached: ${failure.detail}. Check --vm, and that the VM is up.`,
      );
      process.exitCode = ExitCode.Unreachable;
      return undefined;
    },
    Right: ({ status, body }) => {
      if (status < 400) return body as JsonValue;
      console.error(formatAdminError(body));
      process.exitCode = ExitCode.Failed;
      return undefined;
    },
  });
}

/** Calls the API and prints its answer as text, or as JSON with `--json`. */
export async function runAdminCall(
  options: AdminOptions,
  call: AdminCall,
): Promise<void> {
  const body = await callAdmin(options, call);
  if (body === undefined) return;
  console.log(options.json ? JSON.stringify(body, null, 2) : formatValue(body));
}

function readKey(options: AdminOptions): string {
  if (options.keyFile === undefined) return process.env[KEY_VARIABLE] ?? "";
  return readFileSync(options.keyFile, "utf8").trim();
}

interface ErrorBody {
  readonly error?: {
    readonly kind?: string;
    readonly message?: string;
    readonly remedy?: string;
    readonly details?: unknown;
  };
}

function formatAdminError(body: unknown): string {
  const { error } = (body ?? {}) as ErrorBody;
  if (error === undefined) return `The VM answered: ${JSON.stringify(body)}`;
  const details = error.details === undefined
    ? ""
    : `\n${JSON.stringify(error.details, null, 2)}`;
  return `${error.message} (${error.kind}) ${error.remedy}${details}`;
}

/**
 * Formats a JSON value as indented lines of `name: value`, which are easier to
 * read than JSON.
 */
export function formatValue(value: unknown, indent = ""): string {
  if (value === null || typeof value !== "object") return String(value);
  const entries = Array.isArray(value)
    ? value.map((each) => ["-", each] as const)
    : Object.entries(value).map(([key, each]) => [`${key}:`, each] as const);
  if (entries.length === 0) return "none";
  return entries.map(([name, each]) => {
    const nested = each !== null && typeof each === "object" &&
      Object.keys(each).length > 0;
    return nested
      ? `${indent}${name}\n${formatValue(each, `${indent}  `)}`
      : `${indent}${name} ${formatValue(each)}`;
  }).join("\n");
}
