import { DisposableStore, Emitter, type IDisposable } from "../common/mod.ts";
import type { IPlatformAdapter } from "../targets/mod.ts";
import type { ILeavingTargets, ITargetAvailability } from "./types.ts";

type TargetState = ReturnType<ITargetAvailability["stateOf"]>;

/**
 * Combines this instance's copy of the platform's target list with what the
 * other instances report. A target is leaving if any list says so, because
 * an outdated list typically still shows a leaving target as live.
 */
export class TargetAvailability implements ITargetAvailability, IDisposable {
  #fleetTargets: ILeavingTargets;
  #localStates = new Map<string, "live" | "leaving">();
  #states = new Map<string, TargetState>();
  #change = new Emitter<string>();
  readonly onChange = this.#change.event;
  #store = new DisposableStore();

  constructor(platform: IPlatformAdapter | undefined, fleet: ILeavingTargets) {
    this.#fleetTargets = fleet;
    const read = () => {
      const entries = platform?.entries ?? [];
      this.#localStates = new Map(entries.map(({ id, state }) => [id, state]));
      this.#update();
    };
    read();
    if (platform) this.#store.add(platform.onChange(read));
    this.#store.add(fleet.onLeavingTargetsChange(() => this.#update()));
  }

  stateOf(targetId: string): TargetState {
    if (this.#fleetTargets.leavingTargets.has(targetId)) return "leaving";
    return this.#localStates.get(targetId) ?? "unknown";
  }

  dispose(): void {
    this.#store.dispose();
    this.#change.dispose();
  }

  #update(): void {
    const ids = new Set([
      ...this.#localStates.keys(),
      ...this.#fleetTargets.leavingTargets,
      ...this.#states.keys(),
    ]);
    const changed: string[] = [];
    for (const id of ids) {
      const state = this.stateOf(id);
      if (state === (this.#states.get(id) ?? "unknown")) continue;
      if (state === "unknown") this.#states.delete(id);
      else this.#states.set(id, state);
      changed.push(id);
    }
    for (const id of changed) this.#change.fire(id);
  }
}
