import { err, ok, type Result } from "neverthrow";
import type { Deadline, Failure, IDisposable } from "../common/mod.ts";
import { DisposableStore, mayHaveRun, notRun } from "../common/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { ConfigurationPatches } from "./configuration_patches.ts";
import type { ConfigurationSection } from "./configuration_section.ts";
import {
  type ApplyCommand,
  applyConfigurationMethod,
  type ApplyOutput,
  applyOutputSchema,
  configurationHistoryMethod,
  configurationSection,
  fetchConfigurationMethod,
  fetchFromPeerMethod,
  rolloutMethod,
} from "./messages.ts";
import { computeRollout } from "./rollout.ts";
import type { IConfigurationSource, IFleetHealth } from "./types.ts";

/** Retry delay of a change that was refused without a live majority. */
const RETRY_AFTER_SECONDS = 2;

/** Handles calls that read or change the configuration, on the leader. */
export function registerConfigurationHandlers(
  server: IRpcServer,
  log: IReplicatedLog,
  options: { section: ConfigurationSection; fleet: IFleetHealth },
): IDisposable {
  const { section, fleet } = options;
  const store = new DisposableStore();
  const patches = new ConfigurationPatches();
  if (section.current) patches.add(section.current);
  store.add(section.onAccepted((accepted) => patches.add(accepted)));
  store.add(server.handle(fetchConfigurationMethod, async (params, context) => {
    const barrier = await log.barrier(context);
    return barrier.map(() => {
      const { have } = params;
      const patch = have === undefined ? undefined : patches.patchFrom(have);
      return patch ? { patch } : { accepted: section.current };
    });
  }));
  store.add(
    server.handle(configurationHistoryMethod, async (params, context) => {
      const barrier = await log.barrier(context);
      return barrier.map(() => ({ records: section.history(params.limit) }));
    }),
  );
  store.add(
    server.handle(applyConfigurationMethod, async (command, context) => {
      const barrier = await log.barrier(context);
      if (barrier.isErr()) return err(barrier.error);
      const isRepeated = section.hasChange(command.changeId);
      if (!isRepeated && !fleet.hasLiveMajority) {
        const reason = "no more than half of the instances are live";
        const retryAfterSeconds = RETRY_AFTER_SECONDS;
        // Not `unavailable`: clients would immediately retry that at other
        // voters.
        return err(notRun("overloaded", reason, { retryAfterSeconds }));
      }
      return await propose(log, command, context);
    }),
  );
  store.add(server.handle(rolloutMethod, async ({ version }, context) => {
    const barrier = await log.barrier(context);
    return barrier.map(() => computeRollout(version, fleet));
  }));
  return store;
}

/** Serves the configuration in force here to other instances. */
export function registerPeerFetchHandlers(
  server: IRpcServer,
  holder: IConfigurationSource,
): IDisposable {
  return server.handle(fetchFromPeerMethod, ({ whole }) => {
    const { accepted } = holder;
    const version = accepted?.version ?? 0;
    const document = whole ? accepted : undefined;
    return Promise.resolve(ok({ version, accepted: document }));
  });
}

async function propose(
  log: IReplicatedLog,
  command: ApplyCommand,
  options: { deadline: Deadline },
): Promise<Result<ApplyOutput, Failure>> {
  const answer = await log.propose(configurationSection.name, command, options);
  if (answer.isErr()) return err(answer.error);
  const output = applyOutputSchema.safeParse(answer.value);
  if (output.success) return ok(output.data);
  return err(mayHaveRun("internal", output.error.message));
}
