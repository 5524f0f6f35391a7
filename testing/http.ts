import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";

const APPLY_TIMEOUT_MILLISECONDS = 30_000;

/** Response with a JSON body. */
export interface IJsonAnswer {
  status: number;
  headers: Headers;
  // deno-lint-ignore no-explicit-any
  body: any;
}

/** Sends a request and parses the JSON body of the response. */
export async function fetchJson(
  url: string,
  options: RequestInit = {},
): Promise<IJsonAnswer> {
  const response = await fetch(url, options);
  const text = await response.text();
  const { status, headers } = response;
  return { status, headers, body: text === "" ? null : JSON.parse(text) };
}

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

/** Applies a configuration over the current one; retries until accepted. */
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
