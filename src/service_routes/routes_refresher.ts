import type { IClock, IDisposable } from "../common/mod.ts";
import type { RoutesHolder } from "./routes_holder.ts";
import type { RoutesSection } from "./routes_section.ts";

/** Pause after the routes were decoded, as a multiple of the time it took. */
const PAUSE_RATIO = 10;

/** Longest such pause; a fraction of the time in which routes must be used. */
const MAXIMUM_PAUSE_MILLISECONDS = 500;

/**
 * Puts replicated routes into force at this instance.
 *
 * Decoding large routes takes long. After each time there is a pause, so that
 * in quick succession only the newest ones are decoded.
 */
export class RoutesRefresher implements IDisposable {
  #section: Pick<RoutesSection, "current">;
  #holder: RoutesHolder;
  #clock: IClock;
  #subscription: IDisposable;
  #stopping = new AbortController();
  #isPausing = false;

  constructor(
    section: Pick<RoutesSection, "current" | "onAccepted">,
    holder: RoutesHolder,
    options: { clock: IClock },
  ) {
    this.#section = section;
    this.#holder = holder;
    this.#clock = options.clock;
    this.#subscription = section.onAccepted(() => {
      if (!this.#isPausing) void this.#refresh();
    });
  }

  dispose(): void {
    this.#stopping.abort();
    this.#subscription.dispose();
  }

  async #refresh(): Promise<void> {
    const clock = this.#clock;
    this.#isPausing = true;
    while (this.#hasNewer() && !this.#stopping.signal.aborted) {
      const { current } = this.#section;
      const startedAt = clock.monotonic();
      if (current) this.#holder.setIfNewer(current);
      const pause = Math.min(
        PAUSE_RATIO * (clock.monotonic() - startedAt),
        MAXIMUM_PAUSE_MILLISECONDS,
      );
      await clock.sleepUntil(clock.deadlineIn(pause), this.#stopping.signal);
      // Routes that cannot be decoded would be tried again without end.
      if (current === this.#section.current) break;
    }
    this.#isPausing = false;
  }

  #hasNewer(): boolean {
    return (this.#section.current?.version ?? 0) > this.#holder.version;
  }
}
