import type { GenerationChunk } from "../targets/mod.ts";
import { GenerationRun } from "./generation_run.ts";
import type {
  IDispatcher,
  IDispatcherOptions,
  IDispatchRequest,
} from "./types.ts";

/** Runs a generation at one engine after another until it is complete. */
export class Dispatcher implements IDispatcher {
  #options: IDispatcherOptions;

  constructor(options: IDispatcherOptions) {
    this.#options = options;
  }

  async *run(request: IDispatchRequest): AsyncGenerator<GenerationChunk, void> {
    const run = new GenerationRun(request, this.#options);
    try {
      for (;;) {
        const chunks = await run.open();
        try {
          for await (const chunk of chunks) {
            run.accept(chunk);
            yield chunk;
          }
          return;
        } catch (error) {
          run.fail(error);
        } finally {
          run.closeAttempt();
        }
      }
    } finally {
      run.dispose();
    }
  }
}
