import { setTimeout as sleep } from "node:timers/promises";
import { expectedText } from "../testing/engine_standin.ts";
import { type Fleet, LIVE_CALLER_KEY } from "../testing/fleet.ts";
import type { TestRandom } from "../testing/test_random.ts";
import type {
  IRequestRecord,
  RequestOutcome,
  SoakRecord,
} from "./soak_record.ts";

/** Longest wait for an answer, in milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 20_000;

/** Longest pause of a caller between two requests, in milliseconds. */
const MAXIMUM_PAUSE_MILLISECONDS = 60;

/** Retries of a request whose outcome is unknown to the caller. */
const MAXIMUM_RETRIES = 2;

/**
 * Sends live requests, non-idempotent requests and requests to a plain service
 * until the signal is aborted.
 */
export async function runCaller(
  fleet: Fleet,
  record: SoakRecord,
  options: { name: string; random: TestRandom; signal: AbortSignal },
): Promise<void> {
  const { random, name, signal } = options;
  for (let count = 0; !signal.aborted; count++) {
    const prompt = `${name} request ${count}`;
    const kind = random.pick(
      ["live", "live", "live", "once", "plain"] as const,
    );
    let retriesLeft = kind === "live" ? 0 : MAXIMUM_RETRIES;
    for (;;) {
      const instance = random.pick(fleet.instances);
      const tokens = 4 + (count % 12);
      const request: IRequestRecord = {
        kind,
        prompt,
        expected: kind === "plain" ? prompt : expectedText(prompt, tokens),
        instance: instance.id,
        startedAt: Date.now(),
        endedAt: 0,
        outcome: undefined,
      };
      record.requests.push(request);
      request.outcome = await send(instance.callersUrl, request, { tokens });
      request.endedAt = Date.now();
      const isOutcomeKnown = !["broken", "gave-up"].includes(
        request.outcome.kind,
      );
      if (isOutcomeKnown || retriesLeft-- === 0) break;
      await sleep(random.integer(1, 500));
    }
    await sleep(random.integer(0, MAXIMUM_PAUSE_MILLISECONDS));
  }
}

async function send(
  url: string,
  request: IRequestRecord,
  options: { tokens: number },
): Promise<RequestOutcome> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${LIVE_CALLER_KEY}`,
  };
  if (request.kind !== "live") {
    headers["figroad-idempotent"] = "false";
    headers["idempotency-key"] = request.prompt;
  }
  const path = request.kind === "plain"
    ? "/plain/notices/send"
    : "/v1/completions";
  const body = request.kind === "plain" ? request.prompt : JSON.stringify({
    model: "alert-writer",
    prompt: request.prompt,
    max_tokens: options.tokens,
    stream: request.kind === "live",
  });
  let afterHead = false;
  try {
    const response = await fetch(url + path, {
      method: "POST",
      headers,
      body,
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MILLISECONDS),
    });
    afterHead = true;
    const text = await response.text();
    if (response.status !== 200) return readRefusal(response);
    return readAnswer(request, text);
  } catch (error) {
    const isTimeout = (error as Error).name === "TimeoutError";
    return isTimeout ? { kind: "gave-up" } : { kind: "broken", afterHead };
  }
}

function readRefusal(response: Response): RequestOutcome {
  const verdict = response.headers.get("figroad-verdict");
  return { kind: verdict === "not-run" ? "not-run" : "may-have-run" };
}

function readAnswer(request: IRequestRecord, text: string): RequestOutcome {
  if (request.kind === "plain") return { kind: "answer", text };
  if (request.kind === "once") {
    return { kind: "answer", text: JSON.parse(text).choices[0].text };
  }
  let generatedText = "";
  for (const event of text.split("\n\n")) {
    const data = event.replace(/^data: /, "");
    if (data === "[DONE]") return { kind: "answer", text: generatedText };
    if (data === "") break;
    const parsed = JSON.parse(data);
    if (parsed.error) {
      return { kind: parsed.error.verdict };
    }
    generatedText += parsed.choices[0].text;
  }
  return { kind: "broken", afterHead: true };
}
