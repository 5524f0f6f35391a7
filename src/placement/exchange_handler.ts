import { err, ok } from "neverthrow";
import { type IDisposable, notRun } from "../common/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import type { RouteSet } from "../service_routes/mod.ts";
import type { LoadLedger } from "./load_ledger.ts";
import { type EngineList, exchangeMethod, type LoadEntry } from "./messages.ts";

/** What the leader knows; undefined on an instance that does not lead. */
export interface ILeaderKnowledge {
  readonly list: EngineList;
  /** Age of the list in milliseconds. */
  readonly listAge: number;
  /** Engines that fail their health checks. */
  readonly failing: ReadonlySet<string>;
  readonly load: LoadEntry[];
  readonly routes: RouteSet | undefined;
  /** Takes places back from batch items if live requests need them. */
  makeRoom(): void;
}

/** Answers the exchange of load, on the leader. */
export function handleExchange(
  server: IRpcServer,
  ledger: LoadLedger,
  knowledge: () => ILeaderKnowledge | undefined,
): IDisposable {
  return server.handle(exchangeMethod, (params) => {
    const known = knowledge();
    if (!known) {
      return Promise.resolve(err(notRun("not-leader", "does not lead")));
    }
    ledger.record(params);
    known.makeRoom();
    const { list, routes } = known;
    const hasList = list.revision !== "";
    const isNewList = hasList && list.revision !== params.listRevision;
    const isNewRoutes = routes && routes.version > params.routesVersion;
    return Promise.resolve(ok({
      load: known.load,
      suspects: [...known.failing],
      listAge: known.listAge,
      list: isNewList ? list : undefined,
      routes: isNewRoutes ? routes : undefined,
    }));
  });
}
