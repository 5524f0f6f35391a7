import { DisposableStore, Emitter, type IDisposable } from "../common/mod.ts";
import type { IPlatformAdapter } from "../targets/mod.ts";
import type { IFleetTargets, ITargetAvailability } from "./types.ts";

/** State of a target. */
type TargetState = ReturnType<ITargetAvailability["stateOf"]>;

/**
 * Combines the platform's list as this instance has it with what the other
 * instances' lists say. One list that says `leaving` is enough, because a
 * late list errs by naming a target that is leaving as live.
 */
export class TargetAvailability implements ITargetAvailability, IDisposable {
  #fleet: IFleetTargets;
  #own = new Map<string, "live" | "leaving">();
  #states = new Map<string, TargetState>();
  #change = new Emitter<string>();
  readonly onChange = this.#change.event;
  #store = new DisposableStore();

  constructor(platform: IPlatformAdapter | undefined, fleet: IFleetTargets) {
    this.#fleet = fleet;
    const read = () => {
      const entries = platform?.entries ?? [];
      this.#own = new Map(entries.map(({ id, state }) => [id, state]));
      this.#review();
    };
    read();
    if (platform) this.#store.add(platform.onChange(read));
    this.#store.add(fleet.onLeavingTargetsChange(() => this.#review()));
  }

  stateOf(targetId: string): TargetState {
    if (this.#fleet.leavingTargets.has(targetId)) return "leaving";
    return this.#own.get(targetId) ?? "unknown";
  }

  dispose(): void {
    this.#store.dispose();
    this.#change.dispose();
  }

  #review(): void {
    const ids = new Set([
      ...this.#own.keys(),
      ...this.#fleet.leavingTargets,
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
