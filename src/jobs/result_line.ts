import { match } from "ts-pattern";
import type { Failure } from "../common/mod.ts";
import { parseInputLine } from "./input_line.ts";
import { ItemState } from "./item_table.ts";
import type { LeasedItem } from "./messages.ts";

/** Output of a completed item. */
export interface IItemOutput {
  readonly text: string;
  readonly tokens: number;
  readonly finishReason: string;
}

/** Result line of an item that is done. */
export function outputLine(item: LeasedItem, output: IItemOutput): string {
  const input = parseInputLine(item.input);
  const model = input.isOk() ? input.value.body.model : undefined;
  const chat = item.endpoint === "/v1/chat/completions";
  const content = chat
    ? { message: { role: "assistant", content: output.text } }
    : { text: output.text };
  const body = {
    id: lineId(item),
    object: chat ? "chat.completion" : "text_completion",
    model,
    choices: [{ index: 0, ...content, finish_reason: output.finishReason }],
    usage: { completion_tokens: output.tokens },
  };
  return JSON.stringify({
    id: lineId(item),
    custom_id: customIdOf(item.input),
    response: { status_code: 200, request_id: body.id, body },
    error: null,
  });
}

/** Result line of an item that failed. */
export function errorLine(
  item: { jobId: string; index: number; input: string },
  failure: Failure,
): string {
  const { code, message, verdict } = failure;
  return JSON.stringify({
    id: lineId(item),
    custom_id: customIdOf(item.input),
    response: null,
    error: { code, message, verdict },
  });
}

/** Result line of an item that ended without a line from its holder. */
export function derivedLine(
  item: { jobId: string; index: number; input: string },
  state: ItemState,
): string {
  const failure = match(state)
    .with(ItemState.cancelled, (): Failure => ({
      code: "cancelled",
      message: "the job was cancelled before this item was done",
      verdict: "may-have-run",
    }))
    // Callers may read a result line again after an upgrade, so this message
    // must not differ between versions.
    .otherwise((): Failure => ({
      code: "unavailable",
      message: "the instance that ran this item was lost",
      verdict: "may-have-run",
    }));
  return errorLine(item, failure);
}

function lineId(item: { jobId: string; index: number }): string {
  return `${item.jobId}-${item.index}`;
}

function customIdOf(line: string): string {
  const input = parseInputLine(line);
  return input.isOk() ? input.value.custom_id : "";
}
