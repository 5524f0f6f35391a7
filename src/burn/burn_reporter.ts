import { setImmediate as nextTurn } from "node:timers/promises";
import { ok } from "neverthrow";
import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import {
  type IConfigurationSource,
  type Objective,
  objectiveSchema,
} from "../configuration/mod.ts";
import type { IMembership } from "../membership/mod.ts";
import { queryMembers } from "../operators/query_members.ts";
import type { IRpcClient, IRpcServer } from "../rpc/mod.ts";
import {
  type BurnEntry,
  type BurnReport,
  createBurnEntry,
} from "./burn_report.ts";
import { mergeSeriesLazily } from "./merge_series.ts";
import {
  readServiceLevelsMethod,
  type ServiceLevelSeries,
} from "./messages.ts";
import type { IServiceLevelReader } from "./types.ts";

/** Serves the series of this instance to other instances. */
export function registerServiceLevelHandlers(
  server: IRpcServer,
  recorder: IServiceLevelReader,
): IDisposable {
  return server.handle(
    readServiceLevelsMethod,
    async () => {
      const series: ServiceLevelSeries[] = [];
      for (const entry of recorder.readEach()) {
        series.push(entry);
        await nextTurn();
      }
      return ok({ series });
    },
  );
}

/** Creates the burn report of the whole fleet. */
export class BurnReporter {
  #membership: IMembership;
  #rpc: IRpcClient;
  #configuration: IConfigurationSource;
  #clock: IClock;

  constructor(
    membership: IMembership,
    rpc: IRpcClient,
    options: { configuration: IConfigurationSource; clock: IClock },
  ) {
    this.#membership = membership;
    this.#rpc = rpc;
    this.#configuration = options.configuration;
    this.#clock = options.clock;
  }

  /** Queries every member; the report lists those that do not answer. */
  async report(options: { deadline: Deadline }): Promise<BurnReport> {
    const { answers, unanswered } = await queryMembers(
      this.#membership,
      (member) =>
        this.#rpc.call(member, readServiceLevelsMethod, {}, {
          deadline: options.deadline,
          lane: "bulk",
        }),
    );
    const now = this.#clock.wall();
    const entries: BurnEntry[] = [];
    const series = answers.flatMap(({ value }) => value.series);
    for (const merged of mergeSeriesLazily(series)) {
      entries.push(
        createBurnEntry(merged, this.#objectiveOf(merged.service), now),
      );
      await nextTurn();
    }
    return {
      at: now,
      entries,
      answered: answers.map(({ id }) => id),
      unanswered: [...unanswered],
    };
  }

  /** Falls back to the default objective for a service that was removed. */
  #objectiveOf(service: string): Objective {
    const services = this.#configuration.current?.document.services ?? [];
    const found = services.find(({ name }) => name === service);
    return found?.objective ?? objectiveSchema.parse({});
  }
}
