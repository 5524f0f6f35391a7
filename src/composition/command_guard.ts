import { match } from "ts-pattern";
import type { z } from "zod";
import { bulkSection } from "../bulk/mod.ts";
import type { Ability, LoadLedger } from "../placement/mod.ts";
import { type RoutesCommand, routesSection } from "../service_routes/mod.ts";

/**
 * Keeps commands out of the log that an instance of an earlier version would
 * apply in part, while one is in the fleet.
 */
export class CommandGuard {
  #ledger: Pick<LoadLedger, "instancesWithout">;

  constructor(ledger: Pick<LoadLedger, "instancesWithout">) {
    this.#ledger = ledger;
  }

  /** Says why a command must not be proposed; undefined if it may be. */
  findObstacle(section: string, command: unknown): string | undefined {
    const ability = neededAbility(section, command);
    if (!ability) return undefined;
    const instances = this.#ledger.instancesWithout(ability);
    if (instances.length === 0) return undefined;
    return `instances of an earlier version lack "${ability}": ` +
      instances.join(", ");
  }
}

function neededAbility(section: string, command: unknown): Ability | undefined {
  const hasCallers = match(section)
    .with(routesSection.name, () => {
      const { routes, abilities = [] } = command as RoutesCommand;
      const needed: Ability = "callers";
      return (routes.callers ?? []).length > 0 || abilities.includes(needed);
    })
    .with(bulkSection.name, () => {
      const submitted = command as z.infer<typeof bulkSection.command>;
      return submitted.kind === "submit" && submitted.job.caller !== undefined;
    })
    .otherwise(() => false);
  return hasCallers ? "callers" : undefined;
}
