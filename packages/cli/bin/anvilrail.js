#!/usr/bin/env node
import { runCommandLine } from "../../../dist/packages/cli/mod.js";

process.exitCode = await runCommandLine(process.argv.slice(2));
