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

/** Collaborators of the handlers. */
export interface IRetirementParts {
  readonly log: IReplicatedLog;
  readonly section: RetirementSection;
  readonly events: IEventLog;
  /** Number of voters that must remain. */
  readonly targetVoters: number;
  /** Stores that were heard lately: identifier by name. */
  readonly stores: () => ReadonlyMap<string, string>;
}

type StateResult = Result<{ state: RetirementState }, Failure>;

/** Answers the calls about stores that are to be emptied. */
export function handleRetirement(
  server: IRpcServer,
  parts: IRetirementParts,
): IDisposable {
  const store = new DisposableStore();
  store.add(
    server.handle(
      retireMethod,
      ({ name }, options) => retire(name, parts, options),
    ),
  );
  store.add(
    server.handle(
      readRetirementMethod,
      ({ name }, options) => read(name, parts, options),
    ),
  );
  return store;
}

async function retire(
  name: string,
  parts: IRetirementParts,
  options: IDeadlineOptions,
): Promise<StateResult> {
  const { log, section, events } = parts;
  const confirmed = await log.barrier({ ...options, requiresQuorum: true });
  if (confirmed.isErr()) return err(confirmed.error);
  if (section.storeOf(name) !== undefined) return ok(stateOf(name, parts));
  const stores = parts.stores();
  const store = stores.get(name);
  if (store === undefined) return ok({ state: "unknown-store" });
  const remaining = [...stores.values()]
    .filter((it) => it !== store && !section.isRetiring(it));
  if (remaining.length < parts.targetVoters) {
    return ok({ state: "too-few-stores" });
  }
  const command = { kind: "retire", store, name };
  const done = await log.propose(retirementSection.name, command, options);
  if (done.isErr()) return err(done.error);
  events.emit(storeRetiring, { store, machine: name });
  return ok(stateOf(name, parts));
}

async function read(
  name: string,
  parts: IRetirementParts,
  options: IDeadlineOptions,
): Promise<StateResult> {
  const confirmed = await parts.log.barrier({
    ...options,
    requiresQuorum: true,
  });
  if (confirmed.isErr()) return err(confirmed.error);
  return ok(stateOf(name, parts));
}

/** A store is empty when it is no member of the log any more. */
function stateOf(
  name: string,
  parts: IRetirementParts,
): { state: RetirementState } {
  const store = parts.section.storeOf(name);
  if (store === undefined) return { state: "unknown-store" };
  const { voters, learners } = parts.log.status();
  const isMember = [...voters, ...learners].some(({ id }) => id === store);
  return { state: isMember ? "running" : "done" };
}
