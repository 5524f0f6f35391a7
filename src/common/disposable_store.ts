import type { IDisposable } from "./types.ts";

/** Disposes of a group of disposables in reverse order of addition. */
export class DisposableStore implements IDisposable {
  #disposables: IDisposable[] = [];

  /** Adds a disposable and returns it. */
  add<T extends IDisposable>(disposable: T): T {
    this.#disposables.push(disposable);
    return disposable;
  }

  dispose(): void {
    for (const disposable of this.#disposables.reverse()) {
      disposable.dispose();
    }
    this.#disposables = [];
  }
}
