import { ok } from "neverthrow";
import type { IDisposable } from "../common/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { readAppliedRoutesMethod } from "./messages.ts";
import type { RoutesHolder } from "./routes_holder.ts";
import type { RoutesSection } from "./routes_section.ts";

/**
 * Registers the handler of reads that every store answers, whether it leads or
 * not: routes that it has applied are committed, and stay in force until newer
 * ones are.
 */
export function registerRoutesHandlers(
  server: IRpcServer,
  options: {
    section: Pick<RoutesSection, "current">;
    routes: Pick<RoutesHolder, "table">;
  },
): IDisposable {
  const { section, routes } = options;
  return server.handle(readAppliedRoutesMethod, ({ have }) => {
    const applied = section.current?.version ?? 0;
    // Reading the table decodes the newest routes, which takes time.
    const table = applied > have ? routes.table : undefined;
    const isNewer = table !== undefined && table.version > have;
    return Promise.resolve(
      ok({ routes: isNewer ? table.setForEntries : undefined }),
    );
  });
}
