import test from "ava";
import { VirtualClock, VirtualTime } from "../../testing/virtual_clock.ts";
import {
  ABILITIES,
  type ExchangeParams,
  LoadLedger,
} from "../placement/mod.ts";
import type { RouteSet } from "../service_routes/mod.ts";
import { CommandGuard } from "./command_guard.ts";

function report(name: string, abilities?: string[]): ExchangeParams {
  return {
    ...{ instance: name, name, role: "entry", abilities },
    ...{ sequence: 1, answered: 0, live: [], suspects: [] },
    ...{ routesVersion: 1, listRevision: "" },
  };
}

function routes(callers: RouteSet["callers"]) {
  const limits = {
    ...{ headerBytes: 1, bodyBytes: 1 },
    ...{ headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  };
  const set = { version: 1, routes: [], services: [], limits, source: "" };
  return { routes: { ...set, callers } };
}

test("callers wait until instances of earlier versions are gone", async (t) => {
  const time = new VirtualTime();
  const ledger = new LoadLedger(new VirtualClock(time));
  const guard = new CommandGuard(ledger);
  const withCallers = routes([{ name: "dispatch", keyHashes: [] }]);
  const job = { id: "a", host: "h", path: "/", items: [] };
  const submit = { kind: "submit", job: { ...job, caller: "dispatch" } };
  ledger.recordReport(report("new", [...ABILITIES]));
  t.is(guard.findObstacle("routes", withCallers), undefined);
  ledger.recordReport(report("earlier"));
  const obstacle = /instances of an earlier version lack "callers": earlier/;
  t.regex(guard.findObstacle("routes", withCallers) ?? "", obstacle);
  t.regex(guard.findObstacle("bulk", submit) ?? "", obstacle);
  t.is(guard.findObstacle("routes", routes([])), undefined);
  t.is(guard.findObstacle("bulk", { kind: "submit", job }), undefined);
  ledger.recordReport(report("earlier", [...ABILITIES]));
  t.is(guard.findObstacle("routes", withCallers), undefined, "replaced");
  ledger.recordReport(report("lost"));
  await time.advance(11_000);
  t.is(guard.findObstacle("routes", withCallers), undefined, "gone for long");
});
