import type { IEventLog } from "./types.ts";

/** Drops every event; for tools and tests that print by other means. */
export class SilentEventLog implements IEventLog {
  emit(): void {}
}
