import { Emitter, type IDisposable } from "../common/mod.ts";
import type { ILiveActivity } from "./types.ts";

/** Counts the live streams of this instance by engine. */
export class LiveActivity implements ILiveActivity, IDisposable {
  #counts = new Map<string, number>();
  #change = new Emitter<string>();
  readonly onChange = this.#change.event;

  liveStreams(engineId: string): number {
    return this.#counts.get(engineId) ?? 0;
  }

  begin(engineId: string): IDisposable {
    this.#add(engineId, 1);
    let held = true;
    return {
      dispose: () => {
        if (held) this.#add(engineId, -1);
        held = false;
      },
    };
  }

  dispose(): void {
    this.#change.dispose();
  }

  #add(engineId: string, difference: number): void {
    const count = this.liveStreams(engineId) + difference;
    if (count === 0) this.#counts.delete(engineId);
    else this.#counts.set(engineId, count);
    this.#change.fire(engineId);
  }
}
