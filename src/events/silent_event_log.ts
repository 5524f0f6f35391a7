import type { IEventLog } from "./types.ts";

/** Discards all events; for tools and tests with output of their own. */
export class SilentEventLog implements IEventLog {
  emit(): void {}
}
