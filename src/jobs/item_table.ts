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

/** State, attempts and result position of each item of a job. */
export class ItemTable {
  readonly size: number;
  #states: Uint8Array;
  #attempts: Uint8Array;
  #offsets: Float64Array;
  #lengths: Uint32Array;
  #counts: number[];
  /** Every item before this one is not pending. */
  #firstPending = 0;

  constructor(size: number) {
    this.size = size;
    this.#states = new Uint8Array(size);
    this.#attempts = new Uint8Array(size);
    this.#offsets = new Float64Array(size);
    this.#lengths = new Uint32Array(size);
    this.#counts = [size, 0, 0, 0, 0, 0];
  }

  count(state: ItemState): number {
    return this.#counts[state] ?? 0;
  }

  state(index: number): ItemState {
    return (this.#states[index] ?? ItemState.cancelled) as ItemState;
  }

  attempts(index: number): number {
    return this.#attempts[index] ?? 0;
  }

  isTerminal(index: number): boolean {
    return this.state(index) >= ItemState.done;
  }

  setState(index: number, state: ItemState): void {
    const previous = this.state(index);
    this.#states[index] = state;
    this.#counts[previous] = this.count(previous) - 1;
    this.#counts[state] = this.count(state) + 1;
    if (state === ItemState.pending && index < this.#firstPending) {
      this.#firstPending = index;
    }
  }

  setAttempts(index: number, attempts: number): void {
    this.#attempts[index] = attempts;
  }

  setResult(index: number, offset: number, length: number): void {
    this.#offsets[index] = offset;
    this.#lengths[index] = length;
  }

  /** Position of the result line; a length of 0 means there is none. */
  result(index: number): { offset: number; length: number } {
    return {
      offset: this.#offsets[index] ?? 0,
      length: this.#lengths[index] ?? 0,
    };
  }

  /** Returns up to `maximum` pending items in order. */
  pending(maximum: number): number[] {
    const found: number[] = [];
    let index = this.#firstPending;
    let first = -1;
    for (; index < this.size && found.length < maximum; index++) {
      if (this.#states[index] !== ItemState.pending) continue;
      if (first < 0) first = index;
      found.push(index);
    }
    this.#firstPending = first < 0 ? index : first;
    return found;
  }
}
