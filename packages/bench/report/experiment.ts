/** Types of experiments, of their results and of their goals. */

/** A table of an experiment's results. */
export interface FigureTable {
  readonly name: string;
  readonly title: string;
  /** Column headings, with units. */
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** A point of a plot; the points of a series form one line. */
export interface PlotPoint {
  readonly series: string;
  readonly x: number;
  readonly y: number;
}

/** A line plot with one line for each series. */
export interface FigurePlot {
  readonly name: string;
  readonly title: string;
  readonly xTitle: string;
  readonly yTitle: string;
  /** Whether the axis is logarithmic; linear if absent. */
  readonly logX?: boolean;
  readonly logY?: boolean;
  readonly points: readonly PlotPoint[];
}

/** A bound that was set before the run, and the value measured. */
export interface Goal {
  readonly name: string;
  /** The bound as text, such as `at most 3 ms`. */
  readonly bound: string;
  readonly value: number;
  readonly reached: boolean;
}

/** A numeric bound, its unit (may be empty) and the value measured. */
export interface GoalInput {
  readonly bound: number;
  readonly unit: string;
  readonly value: number;
}

/** Results of one run of an experiment. */
export interface ExperimentResult {
  readonly tables: readonly FigureTable[];
  readonly plots?: readonly FigurePlot[];
  readonly goals?: readonly Goal[];
  /** Notes for the report: what the figures mean and what they do not cover. */
  readonly notes?: readonly string[];
}

/** Options of one run. */
export interface ExperimentOptions {
  readonly seed: number;
  /**
   * Whether to use smaller sizes. All quick experiments together must end
   * within two minutes.
   */
  readonly quick: boolean;
  /** Reports progress to the user. */
  readonly log: (line: string) => void;
}

/** An experiment that `anvilrail bench` can run. */
export interface Experiment {
  readonly name: string;
  readonly description: string;
  /** Whether `--quick` includes this experiment. */
  readonly quick: boolean;
  readonly run: (options: ExperimentOptions) => Promise<ExperimentResult>;
}

/** Creates a goal that is reached if the value is at most the bound. */
export function createAtMostGoal(name: string, input: GoalInput): Goal {
  const { bound, unit, value } = input;
  const boundText = `at most ${bound} ${unit}`.trim();
  return { name, bound: boundText, value, reached: value <= bound };
}

/** Creates a goal that is reached if the value is at least the bound. */
export function createAtLeastGoal(name: string, input: GoalInput): Goal {
  const { bound, unit, value } = input;
  const boundText = `at least ${bound} ${unit}`.trim();
  return { name, bound: boundText, value, reached: value >= bound };
}
