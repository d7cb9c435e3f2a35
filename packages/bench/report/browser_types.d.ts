/**
 * Names of browser types that Vega's declarations mention. Plots are drawn
 * without a browser, so the types stay opaque.
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
