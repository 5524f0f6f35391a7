import { err, ok, type Result } from "neverthrow";
import { type Failure, notRun } from "../common/mod.ts";
import type { Engine, IConfigurationSource } from "../configuration/mod.ts";
import type { ITargetAvailability } from "../membership/mod.ts";
import type {
  IEngineReservation,
  IEngineSelector,
  ISelectionRequest,
} from "./types.ts";

/** Seconds after which a request for a service with no engine may return. */
const RETRY_AFTER_SECONDS = 2;

/** Chooses the engine with the fewest streams of this instance. */
export class LeastLoadedSelector implements IEngineSelector {
  #configuration: IConfigurationSource;
  #availability: ITargetAvailability;
  #streams = new Map<string, number>();

  constructor(
    configuration: IConfigurationSource,
    availability: ITargetAvailability,
  ) {
    this.#configuration = configuration;
    this.#availability = availability;
  }

  select(request: ISelectionRequest): Result<IEngineReservation, Failure> {
    const engines = this.#configuration.current?.enginesOf(request.service);
    const candidates = (engines ?? []).filter(
      ({ id }) =>
        !request.exclude.has(id) &&
        this.#availability.stateOf(id) !== "leaving",
    );
    const engine = candidates.reduce<Engine | undefined>(
      (best, next) =>
        best && this.#count(best) <= this.#count(next) ? best : next,
      undefined,
    );
    if (!engine) {
      const reason = `no engine of ${request.service} is available`;
      return err(notRun("unavailable", reason, {
        retryAfterSeconds: RETRY_AFTER_SECONDS,
      }));
    }
    return ok(this.#reserve(engine));
  }

  #count(engine: Engine): number {
    return this.#streams.get(engine.id) ?? 0;
  }

  #reserve(engine: Engine): IEngineReservation {
    this.#streams.set(engine.id, this.#count(engine) + 1);
    let held = true;
    return {
      engine,
      reportFirstToken: () => {},
      reportFailure: () => {},
      dispose: () => {
        if (held) this.#streams.set(engine.id, this.#count(engine) - 1);
        held = false;
      },
    };
  }
}
