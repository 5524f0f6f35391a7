import { Emitter } from "../common/mod.ts";
import type { IStateSection, SectionSnapshot } from "../consensus/mod.ts";
import {
  type RoutesCommand,
  type RoutesOutput,
  routesSection,
} from "./messages.ts";
import { type RouteSet, routeSetSchema } from "./types.ts";

/**
 * Replicated routes. A command with a higher version replaces them; any other
 * command has no effect.
 */
export class RoutesSection implements
  IStateSection<
    typeof routesSection.command,
    typeof routesSection.output
  > {
  readonly definition = routesSection;
  #current: RouteSet | undefined;
  #accepted = new Emitter<RouteSet>();
  /** Fires after a newer version was applied or restored. */
  readonly onAccepted = this.#accepted.event;

  get current(): RouteSet | undefined {
    return this.#current;
  }

  apply({ routes }: RoutesCommand): RoutesOutput {
    if (routes.version > (this.#current?.version ?? 0)) {
      this.#current = routes;
      this.#accepted.fire(routes);
    }
    return { version: this.#current?.version ?? 0 };
  }

  snapshot(): Promise<SectionSnapshot> {
    return Promise.resolve({ state: this.#current ?? null, files: [] });
  }

  restore(snapshot: SectionSnapshot): Promise<void> {
    const state = routeSetSchema.nullable().parse(snapshot.state);
    this.#current = state ?? undefined;
    if (state) this.#accepted.fire(state);
    return Promise.resolve();
  }

  reset(): Promise<void> {
    this.#current = undefined;
    return Promise.resolve();
  }
}
