/** What an experiment is and what it hands back. */

/** One table of figures. */
export interface FigureTable {
  readonly name: string;
  readonly title: string;
  /** Heading of each column, with its unit. */
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** One point of a plot. */
export interface PlotPoint {
  readonly series: string;
  readonly x: number;
  readonly y: number;
}

/** One line plot. */
export interface FigurePlot {
  readonly name: string;
  readonly title: string;
  readonly xTitle: string;
  readonly yTitle: string;
  /** Whether the axes are logarithmic. */
  readonly logX?: boolean;
  readonly logY?: boolean;
  readonly points: readonly PlotPoint[];
}

/** A bound that was set before the run and what the run gave. */
export interface Goal {
  readonly name: string;
  /** The bound in words, such as `at most 3 ms`. */
  readonly bound: string;
  readonly value: number;
  readonly reached: boolean;
}

/** A bound, its unit, which may be empty, and the value measured. */
export interface GoalInput {
  readonly bound: number;
  readonly unit: string;
  readonly value: number;
}

/** Everything that one run of an experiment gave. */
export interface Figures {
  readonly tables: readonly FigureTable[];
  readonly plots?: readonly FigurePlot[];
  readonly goals?: readonly Goal[];
  /** Sentences for the report: what the figures mean and what they leave out. */
  readonly notes?: readonly string[];
}

/** How an experiment is to be run. */
export interface ExperimentOptions {
  readonly seed: number;
  /** Smaller sizes, so that all quick experiments end within two minutes. */
  readonly quick: boolean;
  /** Tells a person how far the run is. */
  readonly log: (line: string) => void;
}

/** One experiment that `anvilrail bench` can run. */
export interface Experiment {
  readonly name: string;
  readonly description: string;
  /** Whether `--quick` runs it. */
  readonly quick: boolean;
  readonly run: (options: ExperimentOptions) => Promise<Figures>;
}

/** Returns a goal that is reached when the value is at most the bound. */
export function createAtMostGoal(name: string, input: GoalInput): Goal {
  const { bound, unit, value } = input;
  const boundText = `at most ${bound} ${unit}`.trim();
  return { name, bound: boundText, value, reached: value <= bound };
}

/** Returns a goal that is reached when the value is at least the bound. */
export function createAtLeastGoal(name: string, input: GoalInput): Goal {
  const { bound, unit, value } = input;
  const boundText = `at least ${bound} ${unit}`.trim();
  return { name, bound: boundText, value, reached: value >= bound };
}
