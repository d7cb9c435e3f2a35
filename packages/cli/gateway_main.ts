/**
 * Entry point of the gateway's program. SIGHUP would end a process that doesn't
 * listen to it, so it is handled before all other modules are loaded, which
 * takes a while.
 */
import process from "node:process";

process.on("SIGHUP", () => {});

void import("./gateway_program.ts")
  .then(({ runGatewayProgram }) => runGatewayProgram());
