import { type Deadline, type IClock, type IDisposable } from "../common/mod.ts";

/** Aborts the work of a request at its deadline or when it is cancelled. */
export class RequestScope implements IDisposable {
  #abort = new AbortController();
  #source: AbortSignal;
  #timer: NodeJS.Timeout;
  /** Why the scope ended; undefined while it is active. */
  ended: "deadline" | "cancelled" | undefined;

  constructor(
    request: { deadline: Deadline; signal: AbortSignal },
    clock: IClock,
  ) {
    this.#source = request.signal;
    this.#timer = setTimeout(
      () => this.#end("deadline"),
      Math.ceil(clock.remaining(request.deadline)),
    );
    this.#source.addEventListener("abort", this.#onAbort, { once: true });
    if (this.#source.aborted) this.#onAbort();
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  dispose(): void {
    clearTimeout(this.#timer);
    this.#source.removeEventListener("abort", this.#onAbort);
  }

  #onAbort = (): void => this.#end("cancelled");

  #end(reason: "deadline" | "cancelled"): void {
    this.ended ??= reason;
    this.#abort.abort();
  }
}
