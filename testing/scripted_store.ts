import { ok } from "neverthrow";
import type { z } from "zod";
import type { ItemOutcome } from "../src/bulk/item_run.ts";
import {
  reportRunsMethod,
  type RunDelta,
  runItemMethod,
  stopItemMethod,
} from "../src/bulk/messages.ts";
import type { FakeEndpoint } from "./fake_network.ts";

type RunAnswer = z.infer<typeof runItemMethod.result>;

/** Store whose runs, reports and answers the test determines. */
export class ScriptedStore {
  /** Runs that the leader has ordered, in order. */
  readonly runs: string[] = [];
  /** Runs that the leader has ordered to stop, in order. */
  readonly stops: string[] = [];
  #endpoint: FakeEndpoint;
  #ends: ((answer: RunAnswer) => void)[] = [];

  constructor(endpoint: FakeEndpoint) {
    this.#endpoint = endpoint;
    endpoint.handle(runItemMethod, async ({ run }) => {
      this.runs.push(run);
      return ok(
        await new Promise<RunAnswer>((resolve) => this.#ends.push(resolve)),
      );
    });
    endpoint.handle(stopItemMethod, ({ run }) => {
      this.stops.push(run);
      return Promise.resolve(ok({}));
    });
  }

  /** Reports data of the first run; resolves with the leader's answer. */
  async report(from: number, data: string[]) {
    return await this.#send(this.#delta(from, data));
  }

  /** Reports a run that the leader did not order. */
  async reportOther() {
    return await this.#send({ run: "other-run", from: 0, data: [] });
  }

  /** Ends the first run with data that follows the line `from`. */
  end(outcome: ItemOutcome, from: number, data: string[]): void {
    this.#ends[0]?.({ outcome, delta: this.#delta(from, data) });
  }

  async #send(delta: RunDelta) {
    const { id, clock } = this.#endpoint;
    const leader = { id: "leader", address: "leader", port: 1 };
    const deadline = clock.deadlineIn(1_000);
    const params = { store: id, deltas: [delta] };
    return await this.#endpoint.call(leader, reportRunsMethod, params, {
      deadline,
    });
  }

  #delta(from: number, data: string[]): RunDelta {
    const lastEventId = `${from + data.length}`;
    return { run: this.runs[0] ?? "", from, data, lastEventId };
  }
}
