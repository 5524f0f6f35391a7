import type { IDisposable } from "./types.ts";

/** Disposes of everything it holds, the last added first. */
export class DisposableStore implements IDisposable {
  #held: IDisposable[] = [];

  /** Adds a disposable and returns it. */
  add<T extends IDisposable>(disposable: T): T {
    this.#held.push(disposable);
    return disposable;
  }

  dispose(): void {
    for (const disposable of this.#held.reverse()) {
      disposable.dispose();
    }
    this.#held = [];
  }
}
