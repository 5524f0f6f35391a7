import type { IDisposable } from "../common/mod.ts";
import { DisposableStore } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import type { ConfigurationSection } from "./configuration_section.ts";
import {
  configurationHistoryMethod,
  fetchConfigurationMethod,
} from "./messages.ts";

/** Answers questions about the configuration, on the log's leader. */
export function handleConfiguration(
  server: IRpcServer,
  log: IReplicatedLog,
  options: { section: ConfigurationSection },
): IDisposable {
  const { section } = options;
  const store = new DisposableStore();
  store.add(server.handle(fetchConfigurationMethod, async (_, context) => {
    const barrier = await log.barrier(context);
    return barrier.map(() => ({ accepted: section.current }));
  }));
  store.add(server.handle(configurationHistoryMethod, async (params, at) => {
    const barrier = await log.barrier(at);
    return barrier.map(() => ({ records: section.history(params.limit) }));
  }));
  return store;
}
