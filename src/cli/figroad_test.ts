import { readFile, writeFile } from "node:fs/promises";
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import test from "ava";
import {
  BATCH_CALLER_KEY,
  Fleet,
  LIVE_CALLER_KEY,
} from "../../testing/fleet.ts";
import { fetchJson, postJson } from "../../testing/http.ts";
import { type ICliRun, runCli } from "../../testing/run_cli.ts";
import { ExitCode } from "./exit_code.ts";

const ITEMS = 20;

let fleet: Fleet;

test.before(async () => {
  fleet = await Fleet.start({ instances: 2, voters: 1, engines: 1 });
});

test.after.always(() => fleet?.stop());

function run(...args: string[]): Promise<ICliRun> {
  return runCli(args, {
    FIGROAD_OPERATORS: fleet.instances[1]?.operatorsUrl ?? "",
    FIGROAD_CALLERS: fleet.instances[1]?.callersUrl ?? "",
    FIGROAD_API_KEY: BATCH_CALLER_KEY,
  });
}

/** Writes the configuration in force to a file. */
async function writeConfiguration(name: string): Promise<string> {
  const { stdout } = await run("config", "show", "--json");
  const path = join(fleet.folder, name);
  await writeFile(path, JSON.stringify(JSON.parse(stdout).document));
  return path;
}

/**
 * Starts a fake operators' API. It closes the connection without an answer if
 * the callback returns undefined.
 */
async function startFakeServer(
  answer: (
    message: IncomingMessage,
    body: string,
  ) => Promise<object | undefined> | object | undefined,
): Promise<{ url: string; close: () => void }> {
  const server = createServer(async (message, response) => {
    let body = "";
    for await (const part of message) body += part;
    const value = await answer(message, body);
    if (value === undefined) return response.destroy();
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify(value));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${port}`, close: () => server.close() };
}

test("status lists instances and targets", async (t) => {
  const { exitCode, stdout } = await run("status", "--json");
  t.is(exitCode, ExitCode.done);
  const status = JSON.parse(stdout);
  t.is(status.members.length, 2);
  t.is(status.targets.length, 1);
});

test.serial("config apply reports conflicts, repeats no change", async (t) => {
  const path = await writeConfiguration("apply.json");
  const shown = await run("config", "show", "--json");
  const version = String(JSON.parse(shown.stdout).version);
  const first = await run(
    "config",
    "apply",
    path,
    ...["--operator", "ada", "--expect-version", version],
    ...["--change-id", "first"],
  );
  t.is(first.exitCode, ExitCode.done, first.stderr);
  t.regex(first.stdout, /in force on 2 instances/);
  const second = await run(
    "config",
    "apply",
    path,
    ...["--operator", "bob", "--expect-version", version],
  );
  t.is(second.exitCode, ExitCode.conflict);
  t.regex(second.stderr, /change first by ada made version/);
  const again = await run(
    "config",
    "apply",
    path,
    ...["--change-id", "first", "--expect-version", version, "--wait", "0"],
  );
  t.is(again.exitCode, ExitCode.done);
  const history = await run("config", "history", "--json");
  const records = JSON.parse(history.stdout);
  t.is(records[0].operator, "ada");
  t.is(records[0].version, Number(version) + 1);
});

test.serial("config apply retries after a lost answer", async (t) => {
  const operators = fleet.instances[0]?.operatorsUrl ?? "";
  const path = await writeConfiguration("lost.json");
  const changeIds: string[] = [];
  const server = await startFakeServer(async ({ method, url }, body) => {
    if (method === "GET") {
      return (await fetchJson(`${operators}${url}`)).body;
    }
    changeIds.push(JSON.parse(body).changeId);
    const { body: answer } = await postJson(
      `${operators}${url}`,
      JSON.parse(body),
    );
    return changeIds.length === 1 ? undefined : answer;
  });
  const applied = await run(
    "config",
    "apply",
    path,
    ...["--operators", server.url, "--wait", "0"],
  );
  server.close();
  t.is(applied.exitCode, ExitCode.done, applied.stderr);
  t.regex(applied.stderr, /sending change \S+ again/);
  t.is(changeIds.length, 2);
  t.is(new Set(changeIds).size, 1);
  const history = await run("config", "history", "--json");
  const records: { changeId: string }[] = JSON.parse(history.stdout);
  t.is(
    records.filter(({ changeId }) => changeId === changeIds[0]).length,
    1,
  );
});

test("config apply names instances without the version", async (t) => {
  const path = await writeConfiguration("rollout.json");
  const record = {
    version: 7,
    changeId: "c",
    operator: "ada",
    acceptedAt: 0,
  };
  const server = await startFakeServer(({ method, url }) => {
    if (method === "POST") return { kind: "accepted", record };
    if (url === "/configuration") return { accepted: null };
    return {
      version: 7,
      inForce: ["one"],
      missing: [{ id: "two", reason: "silent for 4 s" }],
      lost: ["three"],
    };
  });
  const applied = await run(
    "config",
    "apply",
    path,
    ...["--operators", server.url, "--wait", "0.2"],
  );
  server.close();
  t.is(applied.exitCode, ExitCode.incomplete);
  t.regex(applied.stderr, /not in force on two: silent for 4 s/);
  t.regex(applied.stderr, /three is lost/);
});

test("voters commands send the requested changes", async (t) => {
  const bodies: object[] = [];
  const voter = { id: "one", address: "127.0.0.1", port: 8002 };
  const server = await startFakeServer(({ method }, body) => {
    if (method === "POST") bodies.push(JSON.parse(body));
    return { leader: "one", voters: [voter], learners: [] };
  });
  const voters = (...args: string[]) =>
    run("voters", ...args, "--operators", server.url);
  const list = await voters("list");
  t.regex(list.stdout, /^one +leader +unknown +127\.0\.0\.1:8002$/m);
  const location = ["--address", "127.0.0.1", "--failure-domain", "west-1"];
  const added = await voters("add", "two", "--port", "8012", ...location);
  t.is(added.exitCode, ExitCode.done, added.stderr);
  t.is((await voters("promote", "two")).exitCode, ExitCode.done);
  t.is((await voters("transfer")).exitCode, ExitCode.done);
  t.is(
    (await voters("add", "two", "--port", "x", ...location)).exitCode,
    ExitCode.usage,
  );
  server.close();
  t.deepEqual(bodies, [
    {
      action: "add",
      voter: {
        id: "two",
        address: "127.0.0.1",
        port: 8012,
        failureDomain: "west-1",
      },
    },
    { action: "promote", voter: { id: "two" } },
    { action: "transfer" },
  ]);
});

test("voters list names the leader of a running fleet", async (t) => {
  const list = await run("voters", "list");
  t.regex(list.stdout, /^instance-0 +leader +domain-0 +127\.0\.0\.1:\d+$/m);
  const status = await run("status");
  t.regex(status.stdout, /^leader: instance-0, voters: instance-0$/m);
  const removed = await run("voters", "remove", "nobody");
  t.is(removed.exitCode, ExitCode.notFound);
});

test("job is submitted once, listed and read", async (t) => {
  const path = join(fleet.folder, "input.jsonl");
  const lines = Array.from({ length: ITEMS }, (_, index) =>
    JSON.stringify({
      custom_id: `item-${index}`,
      body: { model: "alert-writer", prompt: `${index}`, max_tokens: 3 },
    }));
  await writeFile(path, lines.join("\n"));
  const submit = () =>
    run(
      "job",
      "submit",
      path,
      ...["--endpoint", "/v1/completions", "--key", "once"],
      ...["--wait", "--json"],
    );
  const submitted = await submit();
  t.is(submitted.exitCode, ExitCode.done, submitted.stderr);
  const { id } = JSON.parse(submitted.stdout);
  t.is(JSON.parse((await submit()).stdout).id, id);
  const status = await run("job", "status", id);
  t.regex(status.stdout, new RegExp(`done ${ITEMS}, failed 0`));
  const output = join(fleet.folder, "output.jsonl");
  t.is((await run("job", "results", id, "--output", output)).exitCode, 0);
  const results = (await readFile(output, "utf8")).trim().split("\n");
  t.is(results.length, ITEMS);
  const errors = await run("job", "results", id, "--errors");
  t.is(errors.exitCode, ExitCode.notFound);
  const list = await run("job", "list", "--json");
  t.is(JSON.parse(list.stdout).jobs[0].id, id);
  t.is((await run("job", "cancel", "no-such-job")).exitCode, ExitCode.notFound);
});

test("explain and burn reports ask all instances", async (t) => {
  const explained = await run("explain", "req-unknown");
  t.is(explained.exitCode, ExitCode.notFound);
  t.regex(explained.stdout, /2 instances asked, none knows of req-unknown/);
  const page = join(fleet.folder, "burn.html");
  const burn = await run("report", "burn", "--html", page, "--json");
  t.is(burn.exitCode, ExitCode.done, burn.stderr);
  t.is(JSON.parse(burn.stdout).answered.length, 2);
  t.regex(await readFile(page, "utf8"), /^<!doctype html>/);
});

test("explain, burn report and metrics include a live request", async (t) => {
  const answer = await postJson(
    `${fleet.instances[0]?.callersUrl}/v1/completions`,
    { model: "alert-writer", prompt: "green glow", max_tokens: 3 },
    { authorization: `Bearer ${LIVE_CALLER_KEY}` },
  );
  t.is(answer.status, 200);
  const id = answer.headers.get("x-request-id") ?? "";
  const explained = await run("explain", id, "--json");
  t.is(explained.exitCode, ExitCode.done, explained.stderr);
  const { steps, answered, unanswered } = JSON.parse(explained.stdout);
  t.true(steps.length > 0);
  t.true(
    steps.every(({ instance }: { instance: string }) =>
      instance === fleet.instances[0]?.id
    ),
  );
  t.is(answered.length, 2);
  t.deepEqual(unanswered, []);
  const burn = await run("report", "burn", "--json");
  const [entry] = JSON.parse(burn.stdout).entries;
  t.is(entry.service, "alerts");
  t.is(entry.callerGroup, "live");
  t.is(entry.counts.good + entry.counts.late, 1);
  const metrics = await fetch(`${fleet.instances[0]?.operatorsUrl}/metrics`);
  t.regex(await metrics.text(), /figroad_live_requests_total\{[^}]*\} 1\n/);
});

test("config check and settings check report invalid files", async (t) => {
  const path = join(fleet.folder, "bad.jsonc");
  await writeFile(path, '{\n  // a comment\n  "places": []\n}');
  const checked = await run("config", "check", path);
  t.is(checked.exitCode, ExitCode.usage);
  t.regex(checked.stderr, /bad\.jsonc:3: places: found \[\]; allowed: /);
  const { settingsPath } = fleet.instances[0] ?? t.fail() as never;
  t.is((await run("settings", "check", settingsPath)).exitCode, ExitCode.done);
  t.is((await run("settings", "check", path)).exitCode, ExitCode.usage);
});

/** URL at which nothing listens. */
const NOBODY = "http://127.0.0.1:9";

test("failures print one line", async (t) => {
  const lines: [string[], number][] = [
    [[], ExitCode.usage],
    [["bogus"], ExitCode.usage],
    [["config", "apply"], ExitCode.usage],
    [["status", "--operaters", "x"], ExitCode.usage],
    [["status", "extra"], ExitCode.usage],
    [["status", "--operators", "nonsense"], ExitCode.usage],
    [["job", "submit", "/no/such/file"], ExitCode.usage],
    [["logs", "explain", "99999"], ExitCode.notFound],
    [["status", "--operators", "http://127.0.0.1:9"], ExitCode.noAnswer],
  ];
  for (const [args, expected] of lines) {
    const { exitCode, stderr } = await run(...args);
    t.is(exitCode, expected, args.join(" "));
    t.regex(stderr, /^figroad: [^\n]+\n$/, args.join(" "));
  }
});

test("help lists the options of a command", async (t) => {
  const { exitCode, stdout } = await run("config", "apply", "--help");
  t.is(exitCode, ExitCode.done);
  t.regex(stdout, /--expect-version/);
});

test("limits adds the refusals of all stores", async (t) => {
  const routes = (refusedJobs: number, waitingTokens: number) => [
    { route: "reports", limit: 2_000, waitingTokens, refusedJobs },
  ];
  const store = (instance: string, isLeader: boolean, report: object[]) =>
    startFakeServer(({ url }) =>
      url === "/waiting-tokens"
        ? { instance, isLeader, routes: report }
        : undefined
    );
  const leader = await store("store-2", true, routes(3, 1_500));
  const follower = await store("store-1", false, routes(2, 1_400));
  t.teardown(() => [leader, follower].forEach((server) => server.close()));
  const stores = `${follower.url},${leader.url}`;
  const shown = await run("limits", "--stores", stores);
  t.is(shown.exitCode, ExitCode.done);
  t.regex(shown.stdout, /leader: store-2\n/);
  t.regex(shown.stdout, /reports +1500 +2000 +5\n/);
  const lone = await run("limits", "--stores", follower.url);
  t.is(lone.exitCode, ExitCode.noAnswer);
  t.regex(lone.stderr, /none of the stores that answered is the leader/);
  t.is((await run("limits")).exitCode, ExitCode.usage);
});

test("status of the platform tells which engines leave, and who knows", async (t) => {
  const instance = (name: string, states: object[]) =>
    startFakeServer(({ url }) =>
      url === "/engines"
        ? { instance: name, listAgeMilliseconds: 300, engines: states }
        : undefined
    );
  const engine = (id: string, changes: object = {}) => ({
    ...{ engine: id, service: "writer", failureDomain: "a" },
    ...{ isSuspect: false, ...changes },
  });
  const entry = await instance("entry-1", [
    engine("i-1", { leaving: "answer", announcedMilliseconds: 12_000 }),
    engine("i-2", { limitPerSecond: 3.5 }),
    engine("i-3", { leaving: "list" }),
  ]);
  const store = await instance("store-1", [
    engine("i-1"),
    engine("i-2", { limitPerSecond: 3.5 }),
    engine("i-3", { leaving: "list" }),
  ]);
  t.teardown(() => [entry, store].forEach((server) => server.close()));
  const stores = `${entry.url},${store.url}`;
  const shown = await run("status", "--stores", stores);
  t.is(shown.exitCode, ExitCode.done);
  t.regex(shown.stdout, /entry-1: list of engines read 300 ms ago\n/);
  t.regex(shown.stdout, /i-1 .* answer, 12 s ago \(entry-1\) +- +-\n/);
  t.regex(shown.stdout, /i-2 .* - +3\.5 +-\n/);
  t.regex(shown.stdout, /i-3 .* list +- +-\n/);
  const partial = await run("status", "--stores", `${entry.url},${NOBODY}`);
  t.is(partial.exitCode, ExitCode.incomplete);
  const silent = await run("status", "--stores", NOBODY);
  t.is(silent.exitCode, ExitCode.noAnswer);
});
