import type { IDisposable, IEvent } from "./types.ts";

/** Calls its listeners in the order in which they subscribed. */
export class Emitter<T> implements IDisposable {
  #listeners = new Set<(value: T) => void>();

  /** Subscribes a listener. */
  readonly event: IEvent<T> = (listener) => {
    this.#listeners.add(listener);
    return { dispose: () => this.#listeners.delete(listener) };
  };

  /** Calls every listener with the value. */
  fire(value: T): void {
    for (const listener of [...this.#listeners]) {
      listener(value);
    }
  }

  dispose(): void {
    this.#listeners.clear();
  }
}
