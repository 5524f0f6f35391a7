import { z } from "zod";
import type { IStateSection, SectionSnapshot } from "../consensus/mod.ts";
import { retirementSection } from "./messages.ts";

const snapshotSchema = z.array(z.tuple([z.string(), z.string()]));

/** Replicated set of the stores that are being or have been retired. */
export class RetirementSection implements
  IStateSection<
    typeof retirementSection.command,
    typeof retirementSection.output
  > {
  readonly definition = retirementSection;
  /** Store identifiers by name. */
  #stores = new Map<string, string>();

  isRetiring(store: string): boolean {
    return [...this.#stores.values()].includes(store);
  }

  /** Identifier of a store that is being or has been retired. */
  storeIdOf(name: string): string | undefined {
    return this.#stores.get(name);
  }

  apply(command: z.infer<typeof retirementSection.command>) {
    this.#stores.set(command.name, command.store);
    return {};
  }

  snapshot(): Promise<SectionSnapshot> {
    return Promise.resolve({ state: [...this.#stores], files: [] });
  }

  restore(snapshot: SectionSnapshot): Promise<void> {
    this.#stores = new Map(snapshotSchema.parse(snapshot.state));
    return Promise.resolve();
  }

  reset(): Promise<void> {
    this.#stores.clear();
    return Promise.resolve();
  }
}
