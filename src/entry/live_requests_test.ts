import { connect } from "node:net";
import test from "ava";
import OpenAI from "openai";
import { expectedText } from "../../testing/engine_standin.ts";
import { eventually } from "../../testing/eventually.ts";
import {
  FIRST_KEY,
  LocalFleet,
  SECOND_KEY,
} from "../../testing/local_fleet.ts";
import { PlainStandin } from "../../testing/plain_standin.ts";

const MODEL = "alert-writer";
const TOKENS = 8;

let fleet: LocalFleet;
const plain = new PlainStandin();
const droppingPlain = new PlainStandin();

test.before(async () => {
  const target = async (id: string, standin: PlainStandin) => ({
    id,
    address: "127.0.0.1",
    port: await standin.listen(),
    failureDomain: "a",
  });
  droppingPlain.dropsAnswers = true;
  const payments = await target("payments-0", plain);
  const dropping = await target("dropping-0", droppingPlain);
  fleet = await LocalFleet.start({
    instances: 2,
    engines: 2,
    configure(document) {
      document.plainServices.push({ name: "payments", targets: [payments] });
      document.plainServices.push({ name: "dropping", targets: [dropping] });
      document.rules[0].services.push("payments", "dropping");
    },
  });
});

test.after.always(async () => {
  await fleet?.stop();
  plain.dispose();
  droppingPlain.dispose();
});

function client(instance: number, apiKey = FIRST_KEY): OpenAI {
  const baseURL = `${fleet.url(instance)}/v1`;
  return new OpenAI({ baseURL, apiKey, maxRetries: 2 });
}

function post(
  instance: number,
  path: string,
  options: { body: string; key?: string; idempotent?: boolean },
): Promise<Response> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${FIRST_KEY}`,
  };
  if (options.key) headers["idempotency-key"] = options.key;
  if (options.idempotent === false) headers["figroad-idempotent"] = "false";
  const url = `${fleet.url(instance)}${path}`;
  return fetch(url, { method: "POST", headers, body: options.body });
}

function completion(prompt: string, change: object = {}): string {
  return JSON.stringify({
    model: MODEL,
    prompt,
    max_tokens: TOKENS,
    ...change,
  });
}

test("same key through two instances runs once", async (t) => {
  const options = {
    body: completion("once"),
    key: "once",
    idempotent: false,
  };
  const first = await post(0, "/v1/completions", options);
  const second = await post(1, "/v1/completions", options);
  t.is(second.headers.get("idempotent-replayed"), "true");
  t.is(await second.text(), await first.text());
  t.is(fleet.countStartedRuns("once"), 1);
});

test("keyed request without figroad-idempotent header runs once", async (t) => {
  const options = { body: completion("alone"), key: "alone" };
  const first = await post(0, "/v1/completions", options);
  const second = await post(1, "/v1/completions", options);
  t.is(second.headers.get("idempotent-replayed"), "true");
  t.is(await second.text(), await first.text());
  t.is(fleet.countStartedRuns("alone"), 1);
});

test("rejects a key on a request marked as idempotent", async (t) => {
  const answer = await fetch(`${fleet.url(0)}/v1/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${FIRST_KEY}`,
      "idempotency-key": "both",
      "figroad-idempotent": "true",
    },
    body: completion("both"),
  });
  t.is(answer.status, 400);
  t.regex(await answer.text(), /figroad-idempotent/);
  t.is(fleet.countStartedRuns("both"), 0);
});

test("concurrent requests with the same key run once", async (t) => {
  const options = {
    body: completion("race", { stream: true }),
    key: "race",
    idempotent: false,
  };
  const answers = await Promise.all(
    [0, 1, 0, 1].map((index) => post(index, "/v1/completions", options)),
  );
  const statuses = answers.map(({ status }) => status);
  t.is(statuses.filter((status) => status === 200).length, 1);
  t.is(statuses.filter((status) => status === 409).length, 3);
  await Promise.all(answers.map((answer) => answer.text()));
  t.is(fleet.countStartedRuns("race"), 1);
});

test("rejects a used key with a different body", async (t) => {
  const options = { key: "body", idempotent: false };
  await post(0, "/v1/completions", { ...options, body: completion("a1") });
  const differentBody = { ...options, body: completion("a2") };
  const answer = await post(1, "/v1/completions", differentBody);
  t.is(answer.status, 409);
  t.is(answer.headers.get("figroad-verdict"), "not-run");
  t.is(fleet.countStartedRuns("a2"), 0);
});

test("retry gets the response after the caller disconnected", async (t) => {
  const options = {
    body: completion("gone", { max_tokens: 60 }),
    key: "gone",
    idempotent: false,
  };
  const abort = new AbortController();
  const headers = {
    authorization: `Bearer ${FIRST_KEY}`,
    "idempotency-key": "gone",
    "figroad-idempotent": "false",
  };
  const aborted = fetch(`${fleet.url(0)}/v1/completions`, {
    method: "POST",
    headers,
    body: options.body,
    signal: abort.signal,
  });
  await eventually("request began", () => fleet.countStartedRuns("gone") > 0);
  abort.abort();
  await t.throwsAsync(aborted, { any: true });
  let answer = await post(1, "/v1/completions", options);
  await eventually("retry gets the response", async () => {
    answer = await post(1, "/v1/completions", options);
    return answer.status === 200;
  });
  const body = JSON.parse(await answer.text());
  t.is(body.choices[0].text, expectedText("gone", 60));
  t.is(fleet.countStartedRuns("gone"), 1);
});

test("plain call with the same key runs once", async (t) => {
  const options = { body: "pay 5", key: "pay" };
  const first = await post(0, "/plain/payments/x", options);
  const second = await post(1, "/plain/payments/x", options);
  t.is(await first.text(), "pay 5");
  t.is(await second.text(), "pay 5");
  t.is(plain.runs.get("pay 5"), 1);
});

test("plain call with a lost response is not run again", async (t) => {
  const options = { body: "pay 7", key: "lost" };
  const first = await post(0, "/plain/dropping/x", options);
  const second = await post(1, "/plain/dropping/x", options);
  for (const answer of [first, second]) {
    t.is(answer.status, 503);
    t.is(answer.headers.get("figroad-verdict"), "may-have-run");
    t.is(answer.headers.get("x-should-retry"), "false");
  }
  t.is(droppingPlain.runs.get("pay 7"), 1);
});

test("plain call without a key gets one in the response", async (t) => {
  const answer = await post(0, "/plain/payments/x", { body: "no key" });
  t.truthy(answer.headers.get("idempotency-key"));
});

test("client does not retry a request that may have run", async (t) => {
  const call = client(0).completions.create(
    { model: MODEL, prompt: "q [crash]", max_tokens: 4 },
    { headers: { "figroad-idempotent": "false" } },
  );
  await t.throwsAsync(call, { instanceOf: OpenAI.APIError });
  t.is(fleet.countStartedRuns("q [crash]"), 1);
});

test("disconnecting cancels the engine's stream", async (t) => {
  const stream = await client(0).completions.create({
    model: MODEL,
    prompt: "long",
    max_tokens: 100_000,
    stream: true,
  });
  for await (const _chunk of stream) break;
  const cancelled = () =>
    fleet.engines.reduce((sum, engine) => sum + engine.cancelledStreams, 0);
  await eventually("the engine's stream ends", () => cancelled() > 0);
  t.pass();
});

test("answers of two callers never mix", async (t) => {
  const complete = async (index: number) => {
    const key = index % 2 === 0 ? FIRST_KEY : SECOND_KEY;
    const stream = await client(index % 2, key).chat.completions.create({
      model: MODEL,
      messages: [{ role: "user", content: `own ${index}` }],
      max_tokens: TOKENS,
      stream: true,
    });
    let text = "";
    for await (const { choices } of stream) {
      text += choices[0]?.delta.content ?? "";
    }
    return text;
  };
  const texts = await Promise.all(
    Array.from({ length: 40 }, (_, i) => complete(i)),
  );
  texts.forEach((text, index) =>
    t.is(text, expectedText(`user: own ${index}`, TOKENS))
  );
});

test("rejects invalid requests and API keys", async (t) => {
  const check = async (status: number, body: string) => {
    const answer = await post(0, "/v1/completions", { body });
    t.is(answer.status, status);
    t.is(answer.headers.get("figroad-verdict"), "not-run");
  };
  await check(400, "{broken");
  await check(404, completion("p", { model: "unknown" }));
  await check(400, completion("p", { n: 2 }));
  await check(400, completion("p", { max_tokens: -1 }));
  await check(413, completion("x".repeat(5 * 1024 * 1024)));
  const wrong = client(0, "wrong-key").models.list();
  await t.throwsAsync(wrong, { instanceOf: OpenAI.AuthenticationError });
});

test("rejects a request line without a valid URL", async (t) => {
  const socket = connect(Number(new URL(fleet.url(0)).port), "127.0.0.1");
  socket.setEncoding("utf8");
  socket.write(
    `GET // HTTP/1.1\r\nhost: f\r\nconnection: close\r\n` +
      `authorization: Bearer ${FIRST_KEY}\r\n\r\n`,
  );
  let answer = "";
  for await (const text of socket) answer += text;
  t.regex(answer, /^HTTP\/1\.1 400 /);
  t.is((await client(0).models.list()).data.length, 1);
});

test("unfinished body does not block other requests", async (t) => {
  const socket = connect(Number(new URL(fleet.url(0)).port), "127.0.0.1");
  socket.on("error", () => {});
  socket.write(
    `POST /v1/completions HTTP/1.1\r\nhost: f\r\ncontent-length: 100\r\n` +
      `authorization: Bearer ${FIRST_KEY}\r\n\r\n{`,
  );
  const answer = await post(0, "/v1/completions", { body: completion("ok") });
  t.is(answer.status, 200);
  socket.destroy();
});
