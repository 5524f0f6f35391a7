import type { IDisposable } from "../common/mod.ts";
import type { IBatchStreams } from "./types.ts";

/** Counts the batch streams of this instance by engine. */
export class BatchStreams implements IBatchStreams {
  #counts = new Map<string, number>();

  batchStreams(engineId: string): number {
    return this.#counts.get(engineId) ?? 0;
  }

  begin(engineId: string): IDisposable {
    this.#counts.set(engineId, this.batchStreams(engineId) + 1);
    let held = true;
    return {
      dispose: () => {
        if (!held) return;
        held = false;
        this.#counts.set(engineId, this.batchStreams(engineId) - 1);
      },
    };
  }
}
