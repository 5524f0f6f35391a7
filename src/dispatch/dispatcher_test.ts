import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { EngineStandin, expectedText } from "../../testing/engine_standin.ts";
import {
  configurationOf,
  DispatcherFixture,
} from "../../testing/dispatcher_fixture.ts";
import { type Failure, mayHaveRun } from "../common/mod.ts";
import { GenerationError, type IEngineAdapter } from "../targets/mod.ts";
import type { IDispatchRequest } from "./types.ts";

const SEED = 7;
const TOKENS = 40;
const RUNS = 200;

/** Longer than any request's deadline. */
const FAULT_MILLISECONDS = 6_000;

interface ITestSetup {
  fixture: DispatcherFixture;
  engines: EngineStandin[];
}

async function start(t: ExecutionContext, count: number): Promise<ITestSetup> {
  const engines = Array.from({ length: count }, () => new EngineStandin());
  const ports = await Promise.all(engines.map((engine) => engine.listen()));
  const fixture = new DispatcherFixture(configurationOf(ports), { seed: SEED });
  t.teardown(() => {
    fixture.dispose();
    engines.forEach((engine) => engine.destroy());
  });
  return { fixture: fixture, engines };
}

async function run(
  fixture: DispatcherFixture,
  request: IDispatchRequest,
  onToken: (count: number) => void = () => {},
): Promise<{ text: string; failure?: Failure }> {
  let text = "";
  let count = 0;
  try {
    for await (const chunk of fixture.dispatcher.run(request)) {
      if (chunk.kind !== "tokens") continue;
      text += chunk.text;
      onToken(++count);
    }
    return { text };
  } catch (error) {
    if (!(error instanceof GenerationError)) throw error;
    return { text, failure: error.failure };
  }
}

function busyEngine({ engines }: ITestSetup): EngineStandin | undefined {
  return engines.find(({ runningStreams }) => runningStreams > 0);
}

function countStartedRuns({ engines }: ITestSetup, prompt: string): number {
  return engines.reduce(
    (sum, { startedRuns }) => sum + (startedRuns.get(prompt) ?? 0),
    0,
  );
}

for (const fault of ["destroy", "freeze", "muteOpenStreams"] as const) {
  test(`resumes after ${fault}`, async (t) => {
    const bench = await start(t, 2);
    const request = bench.fixture.request("p", TOKENS);
    const { text, failure } = await run(bench.fixture, request, (count) => {
      if (count === 10) busyEngine(bench)?.[fault](FAULT_MILLISECONDS);
    });
    t.is(failure, undefined);
    t.is(text, expectedText("p", TOKENS));
  });
}

test("fails over to another engine when the first token is late", async (t) => {
  const bench = await start(t, 2);
  const late = bench.engines[0];
  if (late) late.delayMilliseconds = FAULT_MILLISECONDS;
  for (let index = 0; index < 2; index++) {
    const request = bench.fixture.request(`p${index}`, 4);
    const { text } = await run(bench.fixture, request);
    t.is(text, expectedText(`p${index}`, 4));
  }
});

test("reports overload when every engine refuses", async (t) => {
  const bench = await start(t, 2);
  for (const engine of bench.engines) engine.refusalStatus = 503;
  const { failure } = await run(bench.fixture, bench.fixture.request("p", 4));
  t.like(failure, { code: "overloaded", verdict: "not-run" });
  t.is(countStartedRuns(bench, "p"), 0);
});

test("non-idempotent request runs once if its stream breaks", async (t) => {
  const bench = await start(t, 2);
  const request = bench.fixture.request("p", TOKENS, { idempotent: false });
  const { failure } = await run(bench.fixture, request, (count) => {
    if (count === 5) busyEngine(bench)?.destroy();
  });
  t.is(failure?.verdict, "may-have-run");
  t.is(countStartedRuns(bench, "p"), 1);
});

test("non-idempotent request is retried if a port is closed", async (t) => {
  const bench = await start(t, 3);
  bench.engines[0]?.destroy();
  bench.engines[1]?.destroy();
  const request = bench.fixture.request("p", 4, { idempotent: false });
  const { text } = await run(bench.fixture, request);
  t.is(text, expectedText("p", 4));
});

test("cancels the stream when the caller disconnects", async (t) => {
  const bench = await start(t, 1);
  const abort = new AbortController();
  const { signal } = abort;
  const request = bench.fixture.request("p", 10_000, { signal });
  const { failure } = await run(bench.fixture, request, (count) => {
    if (count === 3) abort.abort();
  });
  t.is(failure?.code, "cancelled");
  while (bench.engines[0]?.runningStreams) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  t.is(bench.engines[0]?.cancelledStreams, 1);
  t.is(bench.fixture.activity.liveStreams("engine-0"), 0);
});

test("deadline ends a running stream", async (t) => {
  const bench = await start(t, 1);
  // Long enough for a first token on a busy machine, and shorter than the
  // stream, whose steps take 5 ms each.
  const deadline = bench.fixture.clock.deadlineIn(2_000);
  const request = bench.fixture.request("p", 10_000, { deadline });
  const { text, failure } = await run(bench.fixture, request);
  t.is(failure?.code, "deadline-exceeded");
  t.true(text.length > 0);
  t.is(bench.fixture.health.stateOf("engine-0"), "healthy");
});

test("short deadlines eject no engine", async (t) => {
  const bench = await start(t, 1);
  for (const engine of bench.engines) engine.delayMilliseconds = 500;
  for (let index = 0; index < 6; index++) {
    const deadline = bench.fixture.clock.deadlineIn(90);
    await run(bench.fixture, bench.fixture.request("p", 4, { deadline }));
  }
  t.is(bench.fixture.health.stateOf("engine-0"), "healthy");
});

test("no retry once the retry budget is spent", async (t) => {
  const bench = await start(t, 2);
  for (let taken = 0; taken < 100; taken++) bench.fixture.budget.withdraw();
  const request = bench.fixture.request("p", TOKENS);
  const { failure } = await run(bench.fixture, request, (count) => {
    if (count === 5) busyEngine(bench)?.destroy();
  });
  t.is(failure?.verdict, "may-have-run");
  t.is(countStartedRuns(bench, "p"), 1);
});

test("output has no gaps and no repetitions across attempts", async (t) => {
  const breaks = fc.array(fc.nat({ max: 12 }), { maxLength: 3 });
  const property = fc.asyncProperty(breaks, fc.nat({ max: 20 }), async (
    breaks,
    total,
  ) => {
    const engines = breakingEngines(breaks, total);
    const configuration = configurationOf([1, 2, 3, 4]);
    const fixture = new DispatcherFixture(configuration, {
      seed: SEED,
      engines,
    });
    const { text, failure } = await run(fixture, fixture.request("p", total));
    t.is(failure, undefined);
    t.is(text, expectedText("p", total));
    fixture.dispose();
  });
  await t.notThrowsAsync(fc.assert(property, { seed: SEED, numRuns: RUNS }));
});

/** Engines whose attempts break after the given numbers of tokens. */
function breakingEngines(breaks: number[], total: number): IEngineAdapter {
  const left = [...breaks];
  return {
    async *generate(_engine, _generation, { resume }) {
      const end = left.shift();
      const begin = resume?.tokens ?? 0;
      if (begin > 0 && resume?.text !== expectedText("p", begin)) {
        throw new Error("wrong resume point");
      }
      for (let token = begin; token < total; token++) {
        if (end !== undefined && token - begin >= end) throw broken();
        const text = expectedText("p", token + 1)
          .slice(expectedText("p", token).length);
        yield { kind: "tokens", text, tokens: 1 };
      }
      if (end !== undefined) throw broken();
      yield { kind: "end", finishReason: "stop" };
    },
  } as Partial<IEngineAdapter> as IEngineAdapter;
}

function broken(): GenerationError {
  return new GenerationError(mayHaveRun("target-error", "broken"));
}
