import test from "ava";
import { err, ok, type Result } from "neverthrow";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import { type Failure, mayHaveRun, notRun } from "../common/mod.ts";
import type { RoutesCommand, RoutesOutput } from "./messages.ts";
import { RoutesSection } from "./routes_section.ts";
import { RoutesUpdater } from "./routes_updater.ts";

function command(version: number): RoutesCommand {
  const limits = {
    ...{ headerBytes: 1, bodyBytes: 1 },
    ...{ headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  };
  const routes = { version, routes: [], services: [], limits, source: "" };
  return { routes };
}

/** An updater whose commits end when the test says so. */
function createFixture() {
  const time = new VirtualTime();
  const clock = new VirtualClock(time);
  const section = new RoutesSection();
  const committed: number[] = [];
  let end: (result: Result<RoutesOutput, Failure>) => void = () => {};
  const updater = new RoutesUpdater(section, ({ routes }) => {
    committed.push(routes.version);
    return new Promise((resolve) => end = resolve);
  }, { clock });
  const outcomes: string[] = [];
  const send = (version: number, signal?: AbortSignal) => {
    const options = { deadline: clock.deadlineIn(1_000) };
    void updater.propose(command(version), {
      ...options,
      ...signal && { signal },
    })
      .then((result) => {
        const outcome = result.match(
          () => "accepted",
          ({ verdict }) => verdict,
        );
        outcomes.push(`${version} ${outcome}`);
      });
  };
  /** Ends the commit in progress. */
  const finish = async (failure?: Failure) => {
    const version = committed.at(-1) ?? 0;
    if (failure) end(err(failure));
    else end(ok(section.apply(command(version))));
    await time.advance(0);
  };
  return { time, section, committed, outcomes, send, finish, updater };
}

// Guards against a storm of configurations in which each takes an entry of the
// log, so that all are late and none is acknowledged (review case 3).
test("only the newest of the waiting routes is committed", async (t) => {
  const { committed, outcomes, send, finish } = createFixture();
  for (const version of [2, 4, 9, 7, 9, 3]) send(version);
  t.deepEqual(committed, [2]);
  await finish();
  t.deepEqual(committed, [2, 9]);
  t.deepEqual(outcomes, ["2 accepted"]);
  await finish();
  t.deepEqual(committed, [2, 9]);
  const expected = [2, 4, 9, 7, 9, 3].map((version) => `${version} accepted`);
  t.deepEqual(outcomes, expected);
  send(8);
  await finish();
  t.deepEqual(outcomes.slice(6), ["8 accepted"]);
  t.deepEqual(committed, [2, 9], "routes in force need no commit");
});

// Guards against work for operators that have left at the cost of others.
test("routes whose senders have left are not committed", async (t) => {
  const { committed, outcomes, send, finish } = createFixture();
  send(2);
  const left = new AbortController();
  send(5, left.signal);
  left.abort();
  await finish();
  t.deepEqual(committed, [2]);
  send(6);
  const also = new AbortController();
  send(7);
  send(8, also.signal);
  also.abort();
  await finish();
  t.deepEqual(committed, [2, 6, 8], "8 also settles 7, whose sender waits");
  await finish();
  t.deepEqual(outcomes.sort(), [
    ...["2 accepted", "5 not-run", "6 accepted", "7 accepted", "8 not-run"],
  ]);
});

test("failed routes are reported as not run only if they were", async (t) => {
  const { outcomes, send, finish } = createFixture();
  send(2);
  await finish(notRun("unavailable", "no leader"));
  send(3);
  await finish(mayHaveRun("deadline-exceeded", "late"));
  t.deepEqual(outcomes, ["2 not-run", "3 may-have-run"]);
});

test("late routes are reported as not run only if they were", async (t) => {
  const { time, outcomes, send, finish } = createFixture();
  send(2);
  send(3);
  send(4);
  await time.advance(1_001);
  t.deepEqual(outcomes, ["2 may-have-run", "3 not-run", "4 not-run"]);
  await finish();
  t.is(outcomes.length, 3);
});

test("waiting routes outlive the failure of the commit before", async (t) => {
  const { committed, outcomes, send, finish } = createFixture();
  send(2);
  send(3);
  await finish(mayHaveRun("unavailable", "the leader changed"));
  t.deepEqual(committed, [2, 3]);
  await finish();
  t.deepEqual(outcomes, ["2 accepted", "3 accepted"]);
});

test("routes that another instance commits settle older ones", async (t) => {
  const { time, section, committed, outcomes, send } = createFixture();
  send(2);
  send(5);
  section.apply(command(3));
  await time.advance(0);
  t.deepEqual(outcomes, ["2 accepted"]);
  t.deepEqual(committed, [2, 5]);
  section.apply(command(6));
  await time.advance(0);
  t.deepEqual(outcomes, ["2 accepted", "5 accepted"]);
});

test("disposal ends all waits", async (t) => {
  const { time, outcomes, send, updater } = createFixture();
  send(2);
  send(3);
  updater.dispose();
  await time.advance(0);
  t.deepEqual(outcomes, ["2 may-have-run", "3 not-run"]);
});
