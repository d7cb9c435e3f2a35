/** The command `anvilrail gateway`. */
import { readFileSync } from "node:fs";
import process from "node:process";
import type { CommandModule } from "yargs";
import { createPlatformDialect } from "../../../platform/mod.ts";
import {
  createGatewayMetrics,
  Gateway,
  recordStoreCall,
} from "../../gateway/mod.ts";
import { LogEvent } from "../../runtime/mod.ts";
import {
  type GatewaySettings,
  parseGatewaySettings,
} from "../../settings/mod.ts";
import { ExitCode } from "../exit_code.ts";
import { formatInputErrors, readTextFile } from "../read_settings.ts";

interface GatewayArguments {
  readonly settings: string;
}

/** Interval at which the settings file is checked for changes without SIGHUP. */
const SETTINGS_CHECK_MILLIS = 5_000;

/**
 * Range of the timeout of a store call, in addition to the wait time of a
 * feed's call. The store answers within a few milliseconds.
 */
const STORE_TIMEOUT_MILLIS = { initial: 1_000, max: 2_500 };

/**
 * Range of the timeout of connecting to the store: from some round trips within
 * a region to the time after which TCP has sent a lost packet twice more.
 */
const STORE_CONNECT_TIMEOUT_MILLIS = { initial: 300, max: 3_500 };

/** Runs one entry VM that serves routes until SIGTERM or SIGINT. */
export const gatewayCommand: CommandModule<unknown, GatewayArguments> = {
  command: "gateway",
  describe: "run one entry VM that serves routes of the platform",
  builder: (parser) =>
    parser.option("settings", {
      type: "string",
      demandOption: true,
      describe: "settings file, JSON with comments",
    }),
  handler: async ({ settings: path }) => {
    const settings = readTextFile(path).chain((text) =>
      parseGatewaySettings(text, path)
    );
    if (settings.isLeft()) {
      console.error(formatInputErrors(settings.swap().unsafeCoerce()));
      process.exitCode = ExitCode.BadInput;
      return;
    }
    await runGateway(path, settings.unsafeCoerce());
  },
};

async function runGateway(
  path: string,
  settings: GatewaySettings,
): Promise<void> {
  const metrics = createGatewayMetrics();
  const gateway = new Gateway({
    settings,
    metrics,
    dialect: createPlatformDialect({
      address: settings.store.address,
      timeout: STORE_TIMEOUT_MILLIS,
      feedTimeout: STORE_TIMEOUT_MILLIS,
      connectTimeout: STORE_CONNECT_TIMEOUT_MILLIS,
      recordCall: (call) => recordStoreCall(metrics, call),
      random: Math.random,
    }),
  });
  await gateway.start();
  const reloader = new SettingsReloader(path, gateway);
  process.on("SIGHUP", () => reloader.reload());
  const timer = setInterval(() => reloader.reload(), SETTINGS_CHECK_MILLIS);
  await new Promise<void>((resolve) => {
    const stop = () => void gateway.stop().then(resolve);
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
  });
  clearInterval(timer);
  // Requests still running after the stop timeout would keep the process alive.
  process.exit(ExitCode.Ok);
}

/**
 * Applies a settings file when its text has changed. Invalid settings are logged
 * and not applied.
 */
class SettingsReloader {
  readonly #path: string;
  readonly #gateway: Gateway;
  #text: string;

  constructor(path: string, gateway: Gateway) {
    this.#path = path;
    this.#gateway = gateway;
    this.#text = readFileSync(path, "utf8");
  }

  reload(): void {
    const read = readTextFile(this.#path);
    const text = read.orDefault(this.#text);
    if (text === this.#text) return;
    this.#text = text;
    parseGatewaySettings(text, this.#path).caseOf({
      Left: (errors) =>
        this.#gateway.log.error(LogEvent.SettingsRefused, {
          reason: formatInputErrors(errors),
        }),
      Right: (settings) => this.#gateway.changeSettings(settings),
    });
  }
}
