import { match } from "ts-pattern";
import {
  type Deadline,
  type Failure,
  type IClock,
  notRun,
} from "../common/mod.ts";
import type { IConfigurationSource } from "../configuration/mod.ts";
import type { IDispatcher } from "../dispatch/mod.ts";
import { type Generation, GenerationError } from "../targets/mod.ts";
import { type InputLine, parseInputLine } from "./input_line.ts";
import type { ItemOutcome, LeasedItem } from "./messages.ts";
import { errorLine, type IItemOutput, outputLine } from "./result_line.ts";

/** Longest run of one item, in milliseconds. */
const ITEM_TIMEOUT_MILLISECONDS = 600_000;

/** Runs one attempt at one item and builds its result line. */
export class ItemRunner {
  #dispatcher: IDispatcher;
  #configuration: IConfigurationSource;
  #clock: IClock;

  constructor(
    dispatcher: IDispatcher,
    configuration: IConfigurationSource,
    options: { clock: IClock },
  ) {
    this.#dispatcher = dispatcher;
    this.#configuration = configuration;
    this.#clock = options.clock;
  }

  async run(item: LeasedItem, signal: AbortSignal): Promise<ItemOutcome> {
    const input = parseInputLine(item.input);
    if (input.isErr()) {
      const failure = notRun("bad-request", input.error);
      return outcome(item, "failed", errorLine(item, failure));
    }
    const generation = this.#generation(item, input.value);
    const deadline = this.#clock.deadlineIn(ITEM_TIMEOUT_MILLISECONDS);
    try {
      const output = await this.#generate(item, generation, {
        deadline,
        signal,
      });
      return outcome(item, "done", outputLine(item, output));
    } catch (error) {
      if (!(error instanceof GenerationError)) throw error;
      return this.#failed(item, error.failure);
    }
  }

  #generation(item: LeasedItem, input: InputLine): Generation {
    const grants = this.#configuration.current?.grantsOf(item.caller) ?? [];
    const grant = grants.find(({ service }) => service.name === item.service);
    const model = grant?.service.model ?? String(input.body.model);
    const body = { ...input.body, model };
    return { model, endpoint: item.endpoint, body };
  }

  async #generate(
    item: LeasedItem,
    generation: Generation,
    options: { deadline: Deadline; signal: AbortSignal },
  ): Promise<IItemOutput> {
    let text = "";
    let tokens = 0;
    let finishReason = "stop";
    const chunks = this.#dispatcher.run({
      id: `${item.jobId}/${item.index}`,
      caller: item.caller,
      service: item.service,
      kind: "batch",
      generation,
      idempotent: item.idempotent,
      ...options,
    });
    for await (const chunk of chunks) {
      if (chunk.kind === "end") {
        finishReason = chunk.finishReason;
        continue;
      }
      text += chunk.text;
      tokens += chunk.tokens;
    }
    return { text, tokens, finishReason };
  }

  #failed(item: LeasedItem, failure: Failure): ItemOutcome {
    const line = errorLine(item, failure);
    const status = match(failure)
      .with({ code: "cancelled" }, () => "released" as const)
      .with({ code: "bad-request" }, () => "failed" as const)
      .with({ verdict: "not-run" }, () => "released" as const)
      .otherwise(() => item.idempotent ? "again" : "may-have-run");
    return outcome(item, status, line);
  }
}

function outcome(
  item: LeasedItem,
  status: ItemOutcome["status"],
  line: string,
): ItemOutcome {
  const { jobId, index, attempt } = item;
  return { jobId, index, attempt, status, line };
}
