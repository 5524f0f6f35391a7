import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";

/** Longest wait for a configuration to be accepted, in milliseconds. */
const APPLY_TIMEOUT_MILLISECONDS = 30_000;

/** Status and JSON body of an answer. */
export interface IJsonAnswer {
  status: number;
  headers: Headers;
  // deno-lint-ignore no-explicit-any
  body: any;
}

/** Fetches a JSON answer. */
export async function fetchJson(
  url: string,
  options: RequestInit = {},
): Promise<IJsonAnswer> {
  const response = await fetch(url, options);
  const text = await response.text();
  const { status, headers } = response;
  return { status, headers, body: text === "" ? null : JSON.parse(text) };
}

/** Posts a JSON body. */
export function postJson(
  url: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<IJsonAnswer> {
  return fetchJson(url, {
    method: "POST",
    headers: { "content-type": "application/json", ...headers },
    body: JSON.stringify(body),
  });
}

/** Applies a configuration, whatever version is in force. */
export async function applyConfiguration(
  operators: string,
  document: object,
): Promise<number> {
  const changeId = randomUUID();
  const deadline = Date.now() + APPLY_TIMEOUT_MILLISECONDS;
  for (;;) {
    try {
      const current = await fetchJson(`${operators}/configuration`);
      const expectedVersion = current.body?.accepted?.version ?? 0;
      const answer = await postJson(`${operators}/configuration`, {
        changeId,
        operator: "test",
        expectedVersion,
        document,
      });
      if (answer.status === 200) return answer.body.record.version;
      if (answer.status === 400) throw new Error(JSON.stringify(answer.body));
    } catch (error) {
      if (Date.now() > deadline) throw error;
    }
    if (Date.now() > deadline) throw new Error("configuration not accepted");
    await sleep(100);
  }
}
