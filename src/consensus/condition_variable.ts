/** Wakes tasks that wait for something to happen. */
export class ConditionVariable {
  #waiting: (() => void)[] = [];

  /** Resolves at the next `notify`. */
  wait(): Promise<void> {
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  /** Wakes everything that waits now. */
  notify(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const resolve of waiting) {
      resolve();
    }
  }
}
