/**
 * Placeholders for the browser types that Vega's type declarations refer to.
 * Plots are rendered without a browser, so no further members are needed.
 */
interface Element {
  readonly nodeName: string;
}
interface HTMLElement extends Element {
  readonly title: string;
}
interface HTMLCanvasElement extends HTMLElement {
  readonly width: number;
}
interface MouseEvent {
  readonly button: number;
}
interface TouchEvent {
  readonly touches: unknown;
}
interface KeyboardEvent {
  readonly key: string;
}
