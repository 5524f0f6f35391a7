import test from "ava";
import { expectedText } from "../../testing/engine_standin.ts";
import { eventually } from "../../testing/eventually.ts";
import { BATCH_CALLER_KEY, Fleet, kill } from "../../testing/fleet.ts";
import { fetchJson, postJson } from "../../testing/http.ts";

const TOKENS = 30;
const ITEMS = 240;
const HEADERS = { authorization: `Bearer ${BATCH_CALLER_KEY}` };

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start({ instances: 5, voters: 3, engines: 4 });
});

test.after.always(() => fleet?.stop());

function url(instance: number): string {
  return fleet.instances[instance]?.callersUrl ?? "";
}

async function upload(lines: string[], base = url(0)) {
  const body = new FormData();
  body.set("purpose", "batch");
  body.set("file", new Blob([lines.join("\n")]), "in.jsonl");
  const options = { method: "POST", headers: HEADERS, body };
  return await fetchJson(`${base}/v1/files`, options);
}

function linesOf(name: string, items: number, tokens = TOKENS): string[] {
  return Array.from({ length: items }, (_, index) =>
    JSON.stringify({
      custom_id: `${index}`,
      body: { prompt: `${name} ${index}`, max_tokens: tokens },
    }));
}

function submit(fileId: string, key: string, base = url(0)) {
  return postJson(`${base}/v1/batches`, {
    input_file_id: fileId,
    endpoint: "/v1/completions",
    completion_window: "24h",
  }, { ...HEADERS, "idempotency-key": key });
}

async function read(jobId: string, base = url(0)) {
  const path = `${base}/v1/batches/${jobId}`;
  return (await fetchJson(path, { headers: HEADERS })).body;
}

async function results(
  jobId: string,
  kind: string,
  options: { query?: string; base?: string } = {},
) {
  const { query = "", base = url(0) } = options;
  const path = `${base}/v1/files/${kind}-${jobId}/content${query}`;
  const response = await fetch(path, { headers: HEADERS });
  const text = (await response.text()).trim();
  if (response.status !== 200) throw new Error(text);
  return {
    // deno-lint-ignore no-explicit-any
    lines: text.split("\n").filter(Boolean).map((line): any =>
      JSON.parse(line)
    ),
    position: Number(response.headers.get("figroad-position")),
  };
}

test.serial("a job survives killed and frozen instances", async (t) => {
  const lines = linesOf("report", ITEMS);
  const file = await upload(lines, url(3));
  const answers = await Promise.all(
    [1, 3, 4].map((instance) =>
      submit(file.body.id, "rationing", url(instance))
    ),
  );
  const again = await upload(lines, url(2));
  answers.push(await submit(again.body.id, "rationing", url(2)));
  const [jobId, ...others] = new Set(answers.map(({ body }) => body.id));
  t.deepEqual(others, []);
  const other = await upload(linesOf("else", 1));
  t.is((await submit(other.body.id, "rationing")).status, 409);

  await eventually(
    "items run",
    async () => (await read(jobId)).request_counts.completed > 0,
  );
  const [, , frozen, , killed] = fleet.instances;
  if (!frozen || !killed) return t.fail();
  await kill(killed.process, "SIGKILL");
  frozen.process.kill("SIGSTOP");
  const seen: string[] = [];
  let after = 0;
  let resumed = false;
  await eventually("the job ends", async () => {
    const page = await results(jobId, "output", {
      query: `?after=${after}&limit=50`,
    });
    seen.push(...page.lines.map(({ custom_id }) => custom_id));
    after = page.position;
    const job = await read(jobId);
    if (job.request_counts.completed === ITEMS && !resumed) {
      resumed = true;
      frozen.process.kill("SIGCONT");
    }
    return job.status === "completed" && after === ITEMS;
  });
  t.true(resumed);
  const output = await results(jobId, "output");
  t.deepEqual(
    output.lines.map(({ custom_id }) => custom_id),
    lines.map((_, index) => `${index}`),
  );
  for (const [index, line] of output.lines.entries()) {
    const [choice] = line.response.body.choices;
    t.is(choice.text, expectedText(`report ${index}`, TOKENS));
  }
  t.is(new Set(seen).size, ITEMS);
  t.is(seen.length, ITEMS);
});

test.serial("cancelling a running job stops its streams", async (t) => {
  const file = await upload(linesOf("long", 300, 500));
  const job = await submit(file.body.id, "cancelled");
  const running = async () => {
    const counts = await Promise.all(
      fleet.engines.map(({ url }) => fetchJson(`${url}/standin/counts`)),
    );
    return counts.reduce((sum, { body }) => sum + body.running, 0);
  };
  await eventually("items run", async () => await running() > 20);
  const path = `${url(1)}/v1/batches/${job.body.id}/cancel`;
  const cancelled = await postJson(path, {}, HEADERS);
  t.is(cancelled.body.status, "cancelled");
  await eventually("streams stop", async () => await running() === 0);
  const { lines } = await results(job.body.id, "error");
  t.is(lines.length, 300);
  t.is(lines[7].custom_id, "7");
  t.is(lines[7].error.code, "cancelled");
});

test.serial("an invalid line is reported with its number", async (t) => {
  const [good] = linesOf("good", 1);
  const bad = await upload([good ?? "", '{"custom_id": "1"}']);
  t.is(bad.status, 400);
  t.regex(bad.body.error.message, /^line 2: body/);
  const twice = await upload([good ?? "", good ?? ""]);
  t.regex(twice.body.error.message, /^line 2: custom_id "0" is given twice/);
  t.is((await upload([])).status, 400);
});

test.serial("job ends although the accepting instance is killed", async (t) => {
  const own = await Fleet.start({ instances: 3, voters: 3, engines: 2 });
  t.teardown(() => own.stop());
  const [first, second] = own.instances;
  if (!first || !second) return t.fail();
  const file = await upload(linesOf("kept", 40), first.callersUrl);
  const job = await submit(file.body.id, "kept", first.callersUrl);
  await kill(first.process, "SIGKILL");
  t.is(job.status, 200);
  const base = second.callersUrl;
  await eventually(
    "the job ends",
    async () => (await read(job.body.id, base)).status === "completed",
  );
  const { lines } = await results(job.body.id, "output", { base });
  t.is(lines.length, 40);
});
