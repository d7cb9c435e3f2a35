/** Commands that show events, budgets and VMs, and change budgets and quarantine. */
import { createHash, randomBytes, randomUUID } from "node:crypto";
import type { Argv, CommandModule } from "yargs";
import {
  addAdminOptions,
  type AdminOptions,
  runAdminCall,
} from "../admin_client.ts";

interface NamedOptions extends AdminOptions {
  readonly event: string | undefined;
  readonly digest: string;
}

interface TopUpOptions extends AdminOptions {
  readonly event: string;
  readonly tokens: number;
  readonly id: string | undefined;
}

interface WriteOffOptions extends AdminOptions {
  readonly event: string;
  readonly lostVm: string;
  readonly incarnation: string;
}

const KEY_BYTES = 32;

function addEventOptions(parser: Argv): Argv {
  return addAdminOptions(
    parser.positional("event", {
      type: "string",
      describe: "name of an event",
    }),
  );
}

function formatPath(collection: string, name: string | undefined): string {
  return name === undefined
    ? `/v1/${collection}`
    : `/v1/${collection}/${encodeURIComponent(name)}`;
}

/** Shows one event in force, or lists all. */
export const eventCommand: CommandModule = {
  command: "event show [event]",
  describe: "show an event in force, or list all",
  builder: addEventOptions,
  handler: (options) => {
    const named = options as unknown as NamedOptions;
    const path = formatPath("events", named.event);
    return runAdminCall(named, { method: "GET", path });
  },
};

/** Shows one budget with its grants and write-offs, or lists all. */
export const budgetCommand: CommandModule = {
  command: "budget show [event]",
  describe: "show a budget with its grants and write-offs, or list all",
  builder: addEventOptions,
  handler: (options) => {
    const named = options as unknown as NamedOptions;
    const path = formatPath("budgets", named.event);
    return runAdminCall(named, { method: "GET", path });
  },
};

/** Raises a budget; a repeated id takes effect once. */
export const topUpCommand: CommandModule = {
  command: "top-up <event> <tokens>",
  describe: "raise a budget; safe to repeat with the same --id",
  builder: (parser) =>
    addEventOptions(
      parser
        .positional("tokens", { type: "number" })
        .option("id", {
          type: "string",
          describe: "id of this top-up; a repeated id takes effect once",
        }),
    ),
  handler: async (options) => {
    const input = options as unknown as TopUpOptions;
    const topUpId = input.id ?? randomUUID();
    console.error(
      `top-up id ${topUpId}; after an error, repeat with this --id`,
    );
    await runAdminCall(input, {
      method: "POST",
      path: `${formatPath("budgets", input.event)}/top-ups`,
      body: { topUpId, tokens: input.tokens },
    });
  },
};

/** Writes off the grants that a lost VM's incarnation held of an event. */
export const writeOffCommand: CommandModule = {
  command: "write-off <event> <lost-vm> <incarnation>",
  describe: "write off the grants of a lost VM's incarnation",
  builder: (parser) =>
    addEventOptions(
      parser
        .positional("lost-vm", { type: "string" })
        .positional("incarnation", { type: "string" }),
    ),
  handler: (options) => {
    const input = options as unknown as WriteOffOptions;
    return runAdminCall(input, {
      method: "POST",
      path: `${formatPath("budgets", input.event)}/write-offs`,
      body: { vm: input.lostVm, incarnation: input.incarnation },
    });
  },
};

/** Shows the state dump of one VM. */
export const dumpCommand: CommandModule = {
  command: "dump",
  describe: "show the state of one VM",
  builder: (parser) => addAdminOptions(parser),
  handler: (options) =>
    runAdminCall(options as unknown as AdminOptions, {
      method: "GET",
      path: "/v1/dump",
    }),
};

/** Shows the entry VMs in the membership view of one of them. */
export const membersCommand: CommandModule = {
  command: "members",
  describe: "show the entry VMs as one of them sees them",
  builder: (parser) => addAdminOptions(parser),
  handler: (options) =>
    runAdminCall(options as unknown as AdminOptions, {
      method: "GET",
      path: "/v1/members",
    }),
};

/** Lists quarantined requests (they crashed targets), or releases one. */
export const quarantineCommand: CommandModule = {
  command: "quarantine [digest]",
  describe: "list quarantined requests, or release one by its digest",
  builder: (parser) =>
    addAdminOptions(parser.positional("digest", { type: "string" })),
  handler: (options) => {
    const { digest, ...rest } = options as unknown as NamedOptions;
    if (digest === undefined) {
      return runAdminCall(rest, { method: "GET", path: "/v1/quarantine" });
    }
    const path = `${formatPath("quarantine", digest)}/release`;
    return runAdminCall(rest, { method: "POST", path });
  },
};

/** Generates a key and the hash by which document or settings refer to it. */
export const keyCommand: CommandModule = {
  command: "key",
  describe: "make a new key and its hash",
  handler: () => {
    const key = randomBytes(KEY_BYTES).toString("base64url");
    const hash = createHash("sha256").update(key).digest("hex");
    console.log(`key ${key}\nhash ${hash}`);
  },
};
