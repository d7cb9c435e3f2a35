/** Writes runs as JSON files, plots as SVG files and a Markdown report. */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { formatPlotName, formatReport } from "./markdown.ts";
import { formatPlot } from "./plot.ts";
import type { ExperimentRun } from "./result.ts";

/** Writes all files into a directory and returns their paths. */
export async function writeReports(
  runs: readonly ExperimentRun[],
  directory: string,
): Promise<string[]> {
  await mkdir(directory, { recursive: true });
  const files = new Map<string, string>();
  for (const run of runs) {
    files.set(`${run.experiment}.json`, `${JSON.stringify(run, null, 2)}\n`);
    for (const plot of run.figures.plots ?? []) {
      files.set(formatPlotName(run, plot.name), await formatPlot(plot));
    }
  }
  files.set("report.md", formatReport(runs));
  const paths: string[] = [];
  for (const [name, text] of files) {
    const path = join(directory, name);
    await writeFile(path, text);
    paths.push(path);
  }
  return paths;
}
