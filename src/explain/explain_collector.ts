import { ok } from "neverthrow";
import type { Deadline, IDisposable } from "../common/mod.ts";
import type { IMembership } from "../membership/mod.ts";
import { queryMembers } from "../operators/query_members.ts";
import type { IRpcClient, IRpcServer } from "../rpc/mod.ts";
import { readTraceMethod } from "./messages.ts";
import type { Explanation, ITraceReader } from "./types.ts";

/** Serves the traces of this instance to other instances. */
export function registerExplainHandlers(
  server: IRpcServer,
  traces: ITraceReader,
): IDisposable {
  return server.handle(
    readTraceMethod,
    ({ subject }) => Promise.resolve(ok(traces.trace(subject))),
  );
}

/** Collects the traces that all instances have of a request or item. */
export class ExplainCollector {
  #membership: IMembership;
  #rpc: IRpcClient;

  constructor(membership: IMembership, rpc: IRpcClient) {
    this.#membership = membership;
    this.#rpc = rpc;
  }

  /** Queries every member; the result lists those that do not answer. */
  async explain(
    subject: string,
    options: { deadline: Deadline },
  ): Promise<Explanation> {
    const { answers, unanswered } = await queryMembers(
      this.#membership,
      (member) => this.#rpc.call(member, readTraceMethod, { subject }, options),
    );
    const traces = answers.map(({ value }) => value);
    return {
      subject,
      steps: traces.flatMap(({ steps }) => steps)
        .sort((first, second) => first.at - second.at),
      droppedSteps: traces.reduce(
        (total, { droppedSteps }) => total + droppedSteps,
        0,
      ),
      keptSince: Math.max(0, ...traces.map(({ keptSince }) => keptSince)),
      answered: answers.map(({ id }) => id),
      unanswered: [...unanswered],
    };
  }
}
