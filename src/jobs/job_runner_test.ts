import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import { BatchStreams, TokenGaps } from "../allotment/mod.ts";
import { Emitter, SystemClock } from "../common/mod.ts";
import type { IConfigurationSource } from "../configuration/mod.ts";
import type { IControlClient } from "../consensus/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import type { ITraceRecorder } from "../explain/types.ts";
import type { ITargetHealth } from "../routing/mod.ts";
import type { IRpcServer } from "../rpc/mod.ts";
import { HttpEngineAdapter } from "../targets/mod.ts";
import { EngineStandin, expectedText } from "../../testing/engine_standin.ts";
import { eventually } from "../../testing/eventually.ts";
import { FakeLog } from "../../testing/fake_log.ts";
import { JobRunner } from "./job_runner.ts";
import { JobsSection } from "./jobs_section.ts";
import { LeaseManager } from "./lease_manager.ts";
import { ResultPages } from "./result_pages.ts";

const TOKENS = 40;

/** Allowance with limits set by the test. */
class FakeAllowance {
  #limits = new Map<string, number>();
  #change = new Emitter<string>();
  readonly onChange = this.#change.event;

  get ownedEngines(): string[] {
    return [...this.#limits.keys()];
  }

  limitOf(engineId: string): number {
    return this.#limits.get(engineId) ?? 0;
  }

  set(engineId: string, limit: number): void {
    this.#limits.set(engineId, limit);
    this.#change.fire(engineId);
  }
}

/** One leader, one runner and stand-in engines in this process. */
class JobRunnerFixture {
  readonly folder = mkdtempSync(join(tmpdir(), "figroad-runner-"));
  readonly section = new JobsSection(this.folder);
  readonly allowance = new FakeAllowance();
  readonly log = new FakeLog([this.section]);
  engines: EngineStandin[] = [];
  runner!: JobRunner;
  /** While false, the leader does not answer. */
  connected = true;

  static async start(
    t: ExecutionContext,
    engines: number,
  ): Promise<JobRunnerFixture> {
    const fixture = new JobRunnerFixture();
    await fixture.#start(engines);
    t.teardown(() => fixture.#dispose());
    return fixture;
  }

  async submit(
    prompts: string[],
    options: { idempotent?: boolean; tokens?: number } = {},
  ): Promise<void> {
    const { idempotent = true, tokens = TOKENS } = options;
    const lines = prompts.map((prompt, index) =>
      JSON.stringify({
        custom_id: `${index}`,
        body: { prompt, max_tokens: tokens },
      })
    );
    const propose = (command: object) => this.log.propose("jobs", command);
    const file = { fileId: "file", caller: "station" };
    await propose({ kind: "open-file", ...file, name: "in.jsonl" });
    await propose({ kind: "append-lines", ...file, after: 0, lines });
    await propose({ kind: "close-file", ...file });
    await propose({
      kind: "submit",
      jobId: "job",
      key: "key",
      fingerprint: "",
      ...file,
      service: "alerts",
      endpoint: "/v1/completions",
      idempotent,
      deadlineAt: Date.now() + 3_600_000,
      metadata: {},
      queuedItemsLimit: 1_000,
    });
  }

  finished(): Promise<void> {
    return eventually(
      "the job ends",
      () => this.section.job("job")?.state === "finished",
    );
  }

  get running(): number {
    return this.engines.reduce((sum, engine) => sum + engine.runningStreams, 0);
  }

  // deno-lint-ignore no-explicit-any
  results(): any[] {
    const request = { from: 0, limit: 1_000, kind: "all" as const };
    const pages = new ResultPages(this.section);
    return pages.read("job", { ...request, order: "item" }).lines
      .map((line) => JSON.parse(line));
  }

  texts(): unknown[] {
    return this.results().map(({ response }) => response?.body.choices[0].text);
  }

  async #start(count: number): Promise<void> {
    const clock = new SystemClock();
    const options = { stepMilliseconds: 5, maximumStreams: 16 };
    this.engines = Array.from(
      { length: count },
      () => new EngineStandin(options),
    );
    const ports = await Promise.all(this.engines.map((each) => each.listen()));
    const engines = ports.map((port, index) => ({
      id: `engine-${index}`,
      service: "alerts",
      address: "127.0.0.1",
      port,
      maximumStreams: 16,
    }));
    const service = { name: "alerts", model: "alert-writer" };
    const view = {
      document: { services: [service], engines },
      enginesOf: () => engines,
      grantsOf: () => [{ service }],
    };
    // deno-lint-ignore no-explicit-any
    const handlers = new Map<string, (params: any, context: any) => any>();
    const server = {
      // deno-lint-ignore no-explicit-any
      handle: (method: any, handler: any) => {
        handlers.set(method.name, handler);
        return { dispose: () => {} };
      },
    };
    this.#leases = new LeaseManager(this.log, this.section, {
      clock,
      server: server as unknown as IRpcServer,
      events: new SilentEventLog(),
    });
    const unanswered = () => new Promise<never>(() => {});
    const control = {
      // deno-lint-ignore no-explicit-any
      propose: (section: any, command: unknown) =>
        this.connected ? this.log.propose(section.name, command) : unanswered(),
      // deno-lint-ignore no-explicit-any
      call: (method: any, params: unknown, { deadline }: any) =>
        this.connected
          ? handlers.get(method.name)?.(params, { from: "runner", deadline })
          : unanswered(),
    };
    this.runner = new JobRunner(control as unknown as IControlClient, {
      clock,
      configuration: { current: view } as unknown as IConfigurationSource,
      engines: new HttpEngineAdapter(clock),
      tokenGaps: new TokenGaps(clock),
      allowance: this.allowance,
      streams: new BatchStreams(),
      health: { stateOf: () => "healthy" } as unknown as ITargetHealth,
      trace: { record: () => {} } as unknown as ITraceRecorder,
      events: new SilentEventLog(),
    });
    this.runner.start();
  }

  #leases: LeaseManager | undefined;

  #dispose(): void {
    this.runner.dispose();
    this.#leases?.dispose();
    this.engines.forEach((engine) => engine.destroy());
    rmSync(this.folder, { recursive: true, force: true });
  }
}

function prompts(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `report ${index}`);
}

test("streams yield and resume as the limit changes", async (t) => {
  const fixture = await JobRunnerFixture.start(t, 1);
  const [engine] = fixture.engines;
  const items = prompts(4);
  await fixture.submit(items);
  fixture.allowance.set("engine-0", 4);
  await eventually("streams run", () => (engine?.tokensGenerated ?? 0) > 20);
  fixture.allowance.set("engine-0", 1);
  await eventually("streams yield", () => fixture.running === 1);
  t.is(fixture.section.job("job")?.counts.leased, 4);
  fixture.allowance.set("engine-0", 4);
  await fixture.finished();
  t.deepEqual(fixture.texts(), items.map((item) => expectedText(item, TOKENS)));
  t.deepEqual([...engine?.startedRuns.values() ?? []], [1, 1, 1, 1]);
  const attempts = [...engine?.attempts.values() ?? []];
  t.is(attempts.reduce((sum, count) => sum + count, 0), 7);
});

test("items of a failed engine finish at another engine", async (t) => {
  const fixture = await JobRunnerFixture.start(t, 2);
  const items = prompts(30);
  await fixture.submit(items);
  fixture.allowance.set("engine-0", 15);
  fixture.allowance.set("engine-1", 15);
  await eventually("streams run", () => fixture.running === 30);
  fixture.engines[0]?.destroy();
  await fixture.finished();
  t.deepEqual(fixture.texts(), items.map((item) => expectedText(item, TOKENS)));
});

test("items that fail at every attempt are recorded as failed", async (t) => {
  const fixture = await JobRunnerFixture.start(t, 1);
  const items = ["[crash] now", "[refuse] this", ...prompts(3)];
  await fixture.submit(items);
  fixture.allowance.set("engine-0", 4);
  await fixture.finished();
  t.like(fixture.section.job("job")?.counts, { done: 3, failed: 2 });
  const [crashed, refused] = fixture.results();
  t.is(crashed.error.code, "target-error");
  t.is(refused.error.code, "bad-request");
  t.is(fixture.engines[0]?.attempts.get("[crash] now"), 6);
});

test("cancelling a running job stops its streams", async (t) => {
  const fixture = await JobRunnerFixture.start(t, 1);
  await fixture.submit(prompts(20), { tokens: 100_000 });
  fixture.allowance.set("engine-0", 4);
  await eventually("streams run", () => fixture.running === 4);
  await fixture.log.propose("jobs", { kind: "cancel", jobId: "job" });
  await eventually("streams stop", () => fixture.running === 0);
  t.is(fixture.results().length, 20);
  t.like(fixture.section.job("job"), { state: "cancelled" });
});

test("an isolated holder stops before its lease expires", async (t) => {
  const fixture = await JobRunnerFixture.start(t, 1);
  await fixture.submit(["slow report"]);
  fixture.allowance.set("engine-0", 1);
  await eventually("the stream runs", () => fixture.running === 1);
  fixture.connected = false;
  fixture.engines[0]?.freeze(9_000);
  let runningAtExpiry: number | undefined;
  await eventually("the lease expires", () => {
    if (fixture.section.job("job")?.counts.leased !== 0) return false;
    runningAtExpiry = fixture.runner.streams;
    return true;
  });
  t.is(runningAtExpiry, 0);
});

test("non-idempotent items run at most once", async (t) => {
  const fixture = await JobRunnerFixture.start(t, 1);
  const [engine] = fixture.engines;
  await fixture.submit(["[crash] once", ...prompts(2)], { idempotent: false });
  fixture.allowance.set("engine-0", 3);
  await eventually("streams run", () => fixture.running > 0);
  fixture.allowance.set("engine-0", 0);
  await fixture.finished();
  t.like(fixture.section.job("job")?.counts, { done: 2, mayHaveRun: 1 });
  t.deepEqual([...engine?.attempts.values() ?? []], [1, 1, 1]);
});

test("stop releases the leased items", async (t) => {
  const fixture = await JobRunnerFixture.start(t, 1);
  await fixture.submit(prompts(6));
  fixture.allowance.set("engine-0", 4);
  await eventually("streams run", () => fixture.running === 4);
  await fixture.runner.stop();
  t.like(fixture.section.job("job")?.counts, { pending: 6, leased: 0 });
  t.is(fixture.runner.streams, 0);
});
