import type { IServiceLevelRecorder } from "./types.ts";

/** Keeps no outcomes. */
export class NoServiceLevels implements IServiceLevelRecorder {
  record(): void {}
}
