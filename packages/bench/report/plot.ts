/** Renders line plots as SVG with Vega, without a browser. */
import { parse, type Scale, type Spec, View } from "vega";
import type { FigurePlot } from "./experiment.ts";

const PLOT_WIDTH = 560;
const PLOT_HEIGHT = 320;

/** Renders a plot and returns the SVG text. */
export function formatPlot(plot: FigurePlot): Promise<string> {
  return new View(parse(createSpec(plot)), { renderer: "none" }).toSVG();
}

function createSpec(plot: FigurePlot): Spec {
  return {
    width: PLOT_WIDTH,
    height: PLOT_HEIGHT,
    padding: 8,
    background: "white",
    title: plot.title,
    data: [{
      name: "points",
      values: plot.points.map((each) => ({ ...each })),
    }],
    scales: [
      createScale("x", "width", plot.logX ?? false),
      createScale("y", "height", plot.logY ?? false),
      {
        name: "color",
        type: "ordinal",
        range: "category",
        domain: { data: "points", field: "series" },
      },
    ],
    axes: [
      { orient: "bottom", scale: "x", title: plot.xTitle, grid: true },
      { orient: "left", scale: "y", title: plot.yTitle, grid: true },
    ],
    legends: [{ stroke: "color", fill: "color", orient: "right" }],
    marks: [{
      type: "group",
      from: { facet: { name: "series", data: "points", groupby: "series" } },
      marks: [createLineMark(), createSymbolMark()],
    }],
  };
}

function createScale(
  name: "x" | "y",
  range: "width" | "height",
  logarithmic: boolean,
): Scale {
  const domain = { data: "points", field: name };
  return logarithmic
    ? { name, range, type: "log", domain, nice: true }
    : { name, range, type: "linear", domain, nice: true, zero: false };
}

function createLineMark() {
  return {
    type: "line" as const,
    from: { data: "series" },
    encode: {
      enter: {
        x: { scale: "x", field: "x" },
        y: { scale: "y", field: "y" },
        stroke: { scale: "color", field: "series" },
        strokeWidth: { value: 2 },
      },
    },
  };
}

function createSymbolMark() {
  return {
    type: "symbol" as const,
    from: { data: "series" },
    encode: {
      enter: {
        x: { scale: "x", field: "x" },
        y: { scale: "y", field: "y" },
        fill: { scale: "color", field: "series" },
        size: { value: 30 },
      },
    },
  };
}
