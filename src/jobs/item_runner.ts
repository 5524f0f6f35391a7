import { match } from "ts-pattern";
import { z } from "zod";
import type { Deadline, Failure, IClock } from "../common/mod.ts";
import type { IConfigurationSource } from "../configuration/mod.ts";
import type { IDispatcher } from "../dispatch/mod.ts";
import { type Generation, GenerationError } from "../targets/mod.ts";
import type { ItemOutcome, LeasedItem } from "./messages.ts";

/** Longest run of one item, in milliseconds. */
const ITEM_TIMEOUT_MILLISECONDS = 600_000;

/** One line of an input file. */
const inputLineSchema = z.object({
  custom_id: z.string(),
  method: z.literal("POST").optional(),
  url: z.string().optional(),
  body: z.record(z.string(), z.unknown()),
});
type InputLine = z.infer<typeof inputLineSchema>;

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
    const input = parseInput(item.input);
    if (!input) {
      return outcome(
        item,
        "failed",
        errorLine(item, "", {
          code: "bad-request",
          message: "the input line is no valid request",
          verdict: "not-run",
        }),
      );
    }
    const generation = this.#generation(item, input);
    const deadline = this.#clock.deadlineIn(ITEM_TIMEOUT_MILLISECONDS);
    try {
      const text = await this.#generate(item, generation, { deadline, signal });
      return outcome(item, "done", outputLine(item, input, text));
    } catch (error) {
      if (!(error instanceof GenerationError)) throw error;
      return this.#failed(item, input, error.failure);
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
  ): Promise<string> {
    let text = "";
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
      if (chunk.kind === "tokens") text += chunk.text;
    }
    return text;
  }

  #failed(item: LeasedItem, input: InputLine, failure: Failure): ItemOutcome {
    const line = errorLine(item, input.custom_id, failure);
    const status = match(failure)
      .with({ code: "cancelled" }, () => "released" as const)
      .with({ code: "bad-request" }, () => "failed" as const)
      .with({ verdict: "not-run" }, () => "released" as const)
      .otherwise(() => item.idempotent ? "again" : "may-have-run");
    return outcome(item, status, line);
  }
}

function parseInput(line: string): InputLine | undefined {
  try {
    return inputLineSchema.safeParse(JSON.parse(line)).data;
  } catch {
    return undefined;
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

function outputLine(item: LeasedItem, input: InputLine, text: string): string {
  const chat = item.endpoint === "/v1/chat/completions";
  const choice = chat
    ? { index: 0, message: { role: "assistant", content: text } }
    : { index: 0, text };
  const body = {
    id: `${item.jobId}-${item.index}`,
    object: chat ? "chat.completion" : "text_completion",
    model: input.body.model,
    choices: [{ ...choice, finish_reason: "stop" }],
  };
  return JSON.stringify({
    id: `${item.jobId}-${item.index}`,
    custom_id: input.custom_id,
    response: { status_code: 200, request_id: body.id, body },
    error: null,
  });
}

function errorLine(
  item: LeasedItem,
  customId: string,
  failure: Failure,
): string {
  const { code, message, verdict } = failure;
  return JSON.stringify({
    id: `${item.jobId}-${item.index}`,
    custom_id: customId,
    response: null,
    error: { code, message, verdict },
  });
}
