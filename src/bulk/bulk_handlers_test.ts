import test from "ava";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { FakeClock } from "../../testing/fake_clock.ts";
import { FakeLog } from "../../testing/fake_log.ts";
import { type Deadline, type Failure, notRun } from "../common/mod.ts";
import type { IBarrierOptions } from "../consensus/mod.ts";
import { SilentEventLog } from "../events/mod.ts";
import type { IRpcMethod, IRpcServer } from "../rpc/mod.ts";
import { RouteTable } from "../service_routes/mod.ts";
import { registerBulkHandlers } from "./bulk_handlers.ts";
import { BulkSection } from "./bulk_section.ts";
import {
  endBulkMethod,
  readBulkItemMethod,
  readBulkMethod,
  submitBulkMethod,
} from "./messages.ts";
import { RequestSpaceLimiter } from "./request_space_limiter.ts";
import { WaitingTokenLimiter } from "./waiting_token_limiter.ts";

const OPTIONS = { deadline: Infinity as Deadline };

/** Log that records its barriers; a quorum answers unless a test says so. */
class BarrierLog extends FakeLog {
  /** Whether each barrier needed a quorum, in order. */
  readonly barriers: boolean[] = [];
  hasQuorum = true;

  override barrier(options?: IBarrierOptions): Promise<Result<void, Failure>> {
    const requiresQuorum = options?.requiresQuorum === true;
    this.barriers.push(requiresQuorum);
    const isConfirmed = this.hasQuorum || !requiresQuorum;
    return Promise.resolve(
      isConfirmed ? ok(undefined) : err(notRun("unavailable", "no quorum")),
    );
  }
}

/** The handler of submissions, on a route with a limit of 10 tokens. */
function createSubmit(maximumBytes = Number.POSITIVE_INFINITY) {
  const section = new BulkSection();
  const log = new BarrierLog([section]);
  const clock = new FakeClock();
  const table = new RouteTable({
    version: 1,
    routes: [{
      ...{ name: "jobs", host: "h", pathPrefix: "/", kind: "bulk" },
      ...{ timeoutMilliseconds: 1, objectiveMilliseconds: 1, priority: 0 },
      ...{ shares: [], attempts: 1, isResumable: true, waitingTokensLimit: 10 },
    }],
    services: [],
    limits: {
      ...{ headerBytes: 1, bodyBytes: 1 },
      ...{ headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
    },
    source: "",
  });
  const limiter = new WaitingTokenLimiter(section, {
    clock,
    routes: () => table,
  });
  const space = new RequestSpaceLimiter(section, { clock, maximumBytes });
  const handlers = new Map<string, unknown>();
  const server = {
    handle(method: { name: string }, handler: unknown) {
      handlers.set(method.name, handler);
      return { dispose() {} };
    },
  };
  registerBulkHandlers(server as unknown as IRpcServer, {
    ...{ log, section, limiter, space, clock },
    requiresKeys: () => true,
    events: new SilentEventLog(),
  });
  const call = <P extends z.ZodType, R extends z.ZodType>(
    method: IRpcMethod<P, R>,
    params: z.infer<P>,
  ) => {
    const handler = handlers.get(method.name) as (
      params: z.infer<P>,
      options: typeof OPTIONS,
    ) => Promise<Result<z.infer<R>, Failure>>;
    return handler(params, OPTIONS);
  };
  const submit = (
    id: string,
    tokens: number,
    caller?: string,
    body = "text",
  ) => {
    const item = { id, path: "/", headers: {}, body, tokens };
    const job = { id, host: "h", path: "/", caller, items: [item] };
    return call(submitBulkMethod, { job });
  };
  return { log, limiter, submit, call };
}

test("refused and known jobs are confirmed by a quorum", async (t) => {
  const { log, limiter, submit } = createSubmit();
  await submit("a", 6);
  log.barriers.length = 0;
  const refused = (await submit("b", 5))._unsafeUnwrapErr();
  t.deepEqual([refused.code, refused.verdict], ["limit-exceeded", "not-run"]);
  t.true((await submit("a", 6)).isOk());
  t.deepEqual(log.barriers, [true, true]);
  t.is(limiter.usage()[0]?.refusedJobs, 1);
});

test("leader without a quorum refuses no job for its limit", async (t) => {
  const { log, limiter, submit } = createSubmit();
  await submit("a", 6);
  log.hasQuorum = false;
  t.is((await submit("b", 5))._unsafeUnwrapErr().code, "unavailable");
  t.is((await submit("a", 6))._unsafeUnwrapErr().code, "unavailable");
  t.is(limiter.usage()[0]?.refusedJobs, 0);
});

test("job of another caller looks as if it did not exist", async (t) => {
  const { submit, call } = createSubmit();
  t.true((await submit("a", 1, "owner")).isOk());
  t.true((await submit("a", 1, "owner")).isOk(), "sent again");
  const taken = (await submit("a", 1, "other"))._unsafeUnwrapErr();
  t.deepEqual([taken.code, taken.verdict], ["conflict", "not-run"]);
  const read = async (caller: string | undefined) => {
    const params = { job: "a", caller, after: 0, wait: 0 };
    const item = { job: "a", caller, item: "a" };
    const answer = (await call(readBulkMethod, params))._unsafeUnwrap();
    const { body } = (await call(readBulkItemMethod, item))._unsafeUnwrap();
    return [answer.isKnown, body !== undefined];
  };
  t.deepEqual(await read("owner"), [true, true]);
  t.deepEqual(await read("other"), [false, false]);
  t.deepEqual(await read(undefined), [false, false]);
  const end = async (caller: string) =>
    (await call(endBulkMethod, { job: "a", caller }))._unsafeUnwrap().isKnown;
  t.false(await end("other"));
  t.deepEqual(await read("owner"), [true, true], "it goes on");
  t.true(await end("owner"));
});

test("limit of waiting tokens holds for each caller alone", async (t) => {
  const { submit } = createSubmit();
  t.true((await submit("a", 8, "one")).isOk());
  t.true((await submit("b", 8, "two")).isOk());
  const refused = (await submit("c", 8, "one"))._unsafeUnwrapErr();
  t.is(refused.code, "limit-exceeded");
  t.true((await submit("d", 2, "one")).isOk());
});

// Guards against stores that run out of memory and disk under a burst of large
// jobs: what does not fit is refused at once, what was accepted never.
test("job without space is refused, a known one acknowledged", async (t) => {
  const { submit } = createSubmit(10_000);
  const body = "x".repeat(6_000);
  t.true((await submit("a", 1, "one", body)).isOk());
  const refused = (await submit("b", 1, "one", body))._unsafeUnwrapErr();
  t.deepEqual([refused.code, refused.verdict], ["limit-exceeded", "not-run"]);
  t.true((refused.retryAfterSeconds ?? 0) > 0);
  t.true((await submit("a", 1, "one", body)).isOk());
  const huge = await submit("c", 1, "one", "x".repeat(20_000));
  t.is(huge._unsafeUnwrapErr().code, "too-large");
});

// Guards against jobs that exhaust the memory of the leader before they are
// committed.
test("jobs beyond those being committed are refused", async (t) => {
  const { log, submit } = createSubmit();
  const body = "x".repeat(9_000_000);
  let release = () => {};
  const committed = new Promise<void>((resolve) => release = resolve);
  const propose = log.propose.bind(log);
  log.propose = async (...parameters) => {
    await committed;
    return await propose(...parameters);
  };
  const first = submit("a", 1, "one", body);
  const refused = (await submit("b", 1, "one", body))._unsafeUnwrapErr();
  t.deepEqual([refused.code, refused.verdict], ["overloaded", "not-run"]);
  release();
  t.true((await first).isOk());
  t.true((await submit("b", 1, "one", body)).isOk());
});
