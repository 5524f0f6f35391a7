import type { ITraceRecorder, TraceStep } from "./types.ts";

/** Keeps no trace. */
export class NoTrace implements ITraceRecorder {
  record(): void {}

  read(): readonly TraceStep[] {
    return [];
  }
}
