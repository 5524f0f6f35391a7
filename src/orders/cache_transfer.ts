import { err, ok, type Result } from "neverthrow";
import {
  type Deadline,
  type Failure,
  type IDisposable,
  notRun,
} from "../common/mod.ts";
import type { ConfigurationSection, Engine } from "../configuration/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { transferCacheMethod } from "./messages.ts";
import type { ICacheTransfer, IOrderIssuer } from "./types.ts";

type CacheMove = { prefix: string; from: string; to: string };

/** Requests moves of cached prefixes from the log's leader. */
export class CacheTransfer implements ICacheTransfer {
  #control: IControlClient;

  constructor(control: IControlClient) {
    this.#control = control;
  }

  async transfer(
    move: CacheMove,
    options: { deadline: Deadline },
  ): Promise<Result<void, Failure>> {
    const answer = await this.#control.call(transferCacheMethod, move, options);
    return answer.map(() => undefined);
  }
}

/** Handles requests to move cached prefixes, on the log's leader. */
export function registerCacheTransferHandlers(
  server: IRpcServer,
  issuer: IOrderIssuer,
  options: { section: ConfigurationSection },
): IDisposable {
  return server.handle(transferCacheMethod, async ({ prefix, from, to }) => {
    const engines = options.section.current?.document.engines ?? [];
    const source = engines.find(({ id }) => id === from);
    const target = engines.find(({ id }) => id === to);
    if (!source || !target) {
      return err(
        notRun("not-found", "the inventory has no engine with this identifier"),
      );
    }
    return await moveCachedPrefix(prefix, issuer, { source, target });
  });
}

/** Starts the import only after the export has completed. */
async function moveCachedPrefix(
  prefix: string,
  issuer: IOrderIssuer,
  engines: { source: Engine; target: Engine },
): Promise<Result<Record<string, never>, Failure>> {
  const { source, target } = engines;
  const exported = await issuer.issue(source, { kind: "export-cache", prefix });
  if (exported.isErr()) return err(exported.error);
  const imported = await issuer.issue(target, {
    kind: "import-cache",
    prefix,
    fromAddress: source.address,
    fromPort: source.port,
  });
  if (imported.isErr()) return err(imported.error);
  return ok({});
}
