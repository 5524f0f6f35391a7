import { invariant } from "../common/mod.ts";

/** State of an item. */
export const ItemState = {
  pending: 0,
  leased: 1,
  done: 2,
  failed: 3,
  cancelled: 4,
  mayHaveRun: 5,
} as const;
export type ItemState = typeof ItemState[keyof typeof ItemState];

/** Whether an item in this state never changes again. */
export function isTerminalState(state: ItemState): boolean {
  return state >= ItemState.done;
}

/** States of the items of an unfinished job, in 4 bytes per item. */
export class ItemTable {
  readonly size: number;
  #states: Uint8Array;
  #failures: Uint8Array;
  #attempts: Uint16Array;
  #counts: number[];

  constructor(size: number) {
    this.size = size;
    this.#states = new Uint8Array(size);
    this.#failures = new Uint8Array(size);
    this.#attempts = new Uint16Array(size);
    this.#counts = [size, 0, 0, 0, 0, 0];
  }

  count(state: ItemState): number {
    return this.#counts[state] ?? 0;
  }

  state(index: number): ItemState {
    return (this.#states[index] ?? ItemState.cancelled) as ItemState;
  }

  /** Number of the latest attempt at an item; 0 before the first. */
  attempts(index: number): number {
    return this.#attempts[index] ?? 0;
  }

  /** Number of attempts that failed or whose outcome is unknown. */
  failures(index: number): number {
    return this.#failures[index] ?? 0;
  }

  isTerminal(index: number): boolean {
    return isTerminalState(this.state(index));
  }

  setState(index: number, state: ItemState): void {
    const previous = this.state(index);
    invariant(!isTerminalState(previous), "a terminal item changed its state");
    this.#states[index] = state;
    this.#counts[previous] = this.count(previous) - 1;
    this.#counts[state] = this.count(state) + 1;
  }

  setAttempts(index: number, attempts: number): void {
    this.#attempts[index] = attempts;
  }

  setFailures(index: number, failures: number): void {
    this.#failures[index] = failures;
  }
}
