import { err, ok, type Result } from "neverthrow";
import {
  DisposableStore,
  type Failure,
  type IDisposable,
} from "../common/mod.ts";
import type { IDeadlineOptions, IReplicatedLog } from "../consensus/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { storeRetiring } from "./events.ts";
import {
  readRetirementMethod,
  retirementSection,
  type RetirementState,
  retireMethod,
} from "./messages.ts";
import type { RetirementSection } from "./retirement_section.ts";

/** Dependencies of the retirement handlers. */
export interface IRetirementOptions {
  readonly log: IReplicatedLog;
  readonly section: RetirementSection;
  readonly events: IEventLog;
  /** Target number of voters; at least as many stores must remain. */
  readonly targetVoters: number;
  /** Stores that the leader had contact with recently: identifier by name. */
  readonly stores: () => ReadonlyMap<string, string>;
}

type StateResult = Result<{ state: RetirementState }, Failure>;

/** Registers the handlers that start and read the retirement of stores. */
export function registerRetirementHandlers(
  server: IRpcServer,
  options: IRetirementOptions,
): IDisposable {
  const store = new DisposableStore();
  store.add(
    server.handle(
      retireMethod,
      ({ name }, context) => retire(name, options, context),
    ),
  );
  store.add(
    server.handle(
      readRetirementMethod,
      ({ name }, context) => read(name, options, context),
    ),
  );
  return store;
}

async function retire(
  name: string,
  options: IRetirementOptions,
  context: IDeadlineOptions,
): Promise<StateResult> {
  const { log, section, events } = options;
  const confirmed = await log.barrier({ ...context, requiresQuorum: true });
  if (confirmed.isErr()) return err(confirmed.error);
  if (section.storeIdOf(name) !== undefined) return ok(stateOf(name, options));
  const stores = options.stores();
  const store = stores.get(name);
  if (store === undefined) return ok({ state: "unknown-store" });
  const remaining = [...stores.values()]
    .filter((id) => id !== store && !section.isRetiring(id));
  if (remaining.length < options.targetVoters) {
    return ok({ state: "too-few-stores" });
  }
  const command = { kind: "retire", store, name };
  const done = await log.propose(retirementSection.name, command, context);
  if (done.isErr()) return err(done.error);
  events.emit(storeRetiring, { store, machine: name });
  return ok(stateOf(name, options));
}

async function read(
  name: string,
  options: IRetirementOptions,
  context: IDeadlineOptions,
): Promise<StateResult> {
  const confirmed = await options.log.barrier({
    ...context,
    requiresQuorum: true,
  });
  if (confirmed.isErr()) return err(confirmed.error);
  return ok(stateOf(name, options));
}

/** A retirement is done when the store is no longer a member of the log. */
function stateOf(
  name: string,
  options: IRetirementOptions,
): { state: RetirementState } {
  const store = options.section.storeIdOf(name);
  if (store === undefined) return { state: "unknown-store" };
  return { state: options.log.isMember(store) ? "running" : "done" };
}
