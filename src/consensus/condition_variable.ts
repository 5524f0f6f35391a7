/** Lets asynchronous tasks wait until another task notifies them. */
export class ConditionVariable {
  #waiting: (() => void)[] = [];

  /** Resolves at the next `notify`. */
  wait(): Promise<void> {
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  /** Wakes all tasks that are waiting now. */
  notify(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const resolve of waiting) {
      resolve();
    }
  }
}
