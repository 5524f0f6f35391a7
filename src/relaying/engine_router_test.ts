import { Buffer } from "node:buffer";
import test from "ava";
import { FakeClock } from "../../testing/fake_clock.ts";
import { listedEngine } from "../../testing/listed_engine.ts";
import { SilentEventLog } from "../events/mod.ts";
import type { IEngineAnswer, IEngineClient } from "../streams/mod.ts";
import { EngineRouter } from "./engine_router.ts";
import type { Relay } from "./messages.ts";
import { RelayDirectory } from "./relay_directory.ts";
import { type RelayError, relayOutcomeError } from "./relay_error.ts";

const RELAYS: Relay[] = ["10.0.0.2", "10.0.0.3"]
  .map((address) => ({ address, port: 7_720 }));

function setup(isCutOff: boolean) {
  const clock = new FakeClock();
  const events = new SilentEventLog();
  const links = { isCutOff, check: () => Promise.resolve(isCutOff) };
  const relays = new RelayDirectory(clock, { events, random: () => 0 });
  const used: (string | undefined)[] = [];
  /** Errors of the next requests. */
  const errors: RelayError[] = [];
  const client: IEngineClient = {
    send: (_engine, _request, { relay }) => {
      used.push(relay?.address);
      const error = errors.shift();
      if (error) return Promise.reject(error);
      return Promise.resolve({} as IEngineAnswer);
    },
  };
  const router = new EngineRouter(client, { links, relays, events });
  const send = () =>
    router.send(listedEngine("one"), {
      id: "request-1",
      method: "POST",
      path: "/",
      headers: [],
      body: Buffer.alloc(0),
      deadline: undefined,
      lastEventId: undefined,
    }, {
      signal: new AbortController().signal,
      headDeadline: clock.deadlineIn(1_000),
      freshConnection: false,
    });
  return { clock, links, relays, router, used, errors, send };
}

test("requests go directly while the links work", async (t) => {
  const { relays, router, used, send } = setup(false);
  relays.update(RELAYS);
  await send();
  t.deepEqual(used, [undefined]);
  t.true(router.hasPath);
});

test("requests go through an instance while the links are lost", async (t) => {
  const { links, relays, router, used, send } = setup(true);
  t.false(router.hasPath);
  await send();
  relays.update(RELAYS);
  t.true(router.hasPath);
  await send();
  links.isCutOff = false;
  await send();
  t.deepEqual(used, [undefined, "10.0.0.2", undefined]);
});

test("instance that fails to forward is avoided for a while", async (t) => {
  const { clock, relays, used, errors, send } = setup(true);
  relays.update(RELAYS);
  errors.push(relayOutcomeError("declined", "it is stopping"));
  await t.throwsAsync(send);
  await send();
  clock.advance(1_000);
  await send();
  t.deepEqual(used, ["10.0.0.2", "10.0.0.3", "10.0.0.2"]);
});

test("instance is not avoided for the fault of an engine", async (t) => {
  const { relays, used, errors, send } = setup(true);
  relays.update(RELAYS);
  errors.push(relayOutcomeError("unreached", "no connection in time"));
  await t.throwsAsync(send);
  await send();
  t.deepEqual(used, ["10.0.0.2", "10.0.0.2"]);
});

test("only a request that no engine received counts as not run", (t) => {
  for (const outcome of ["declined", "unavailable", "unreached"] as const) {
    t.false(relayOutcomeError(outcome, "").mayHaveRun);
  }
  t.true(relayOutcomeError("lost", "").mayHaveRun);
  t.true(relayOutcomeError(undefined, "").mayHaveRun);
});
