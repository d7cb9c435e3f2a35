/** The command `anvilrail gateway`. */
import process from "node:process";
import type { CommandModule } from "yargs";
import { createPlatformDialect } from "../../../platform/mod.ts";
import {
  createGatewayMetrics,
  Gateway,
  recordStoreCall,
} from "../../gateway/mod.ts";
import {
  type GatewaySettings,
  parseGatewaySettings,
} from "../../settings/mod.ts";
import { ExitCode } from "../exit_code.ts";
import { formatInputErrors, readTextFile } from "../read_settings.ts";
import { SettingsReloader } from "../settings_reloader.ts";

interface GatewayArguments {
  readonly settings: string;
}

/** Interval at which the settings file is checked for changes without SIGHUP. */
const SETTINGS_CHECK_MILLIS = 1_000;

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
    const read = readTextFile(path);
    const settings = read.chain((text) => parseGatewaySettings(text, path));
    if (settings.isLeft()) {
      console.error(formatInputErrors(settings.swap().unsafeCoerce()));
      process.exitCode = ExitCode.BadInput;
      return;
    }
    await runGateway(settings.unsafeCoerce(), {
      path,
      text: read.unsafeCoerce(),
    });
  },
};

async function runGateway(
  settings: GatewaySettings,
  file: { readonly path: string; readonly text: string },
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
      recordWaiting: (calls) => metrics.storeWaitingCalls.set(calls),
      random: Math.random,
    }),
  });
  await gateway.start();
  const reloader = new SettingsReloader({
    text: file.text,
    log: gateway.log,
    readText: () => readTextFile(file.path),
    parse: (text) => parseGatewaySettings(text, file.path),
    apply: (changed: GatewaySettings) => gateway.changeSettings(changed),
  });
  process.on("SIGHUP", () => reloader.reload());
  reloader.reload();
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
