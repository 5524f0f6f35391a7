import test from "ava";
import { err, ok } from "neverthrow";
import { mayHaveRun } from "../common/mod.ts";
import type { IMembership, Member } from "../membership/mod.ts";
import { queryMembers } from "./query_members.ts";

function member(id: string, health: Member["health"]): Member {
  return {
    id,
    address: "127.0.0.1",
    port: 1,
    region: "west",
    failureDomain: "west-1",
    state: "serving",
    incarnation: id,
    configurationVersion: 0,
    health,
  };
}

function membership(members: Member[]): IMembership {
  const self = member("self", "live");
  const onChange = () => ({ dispose() {} });
  return { self, members, onChange, isConnected: true };
}

test("returns lost and silent members as unanswered", async (t) => {
  const fleet = membership([
    member("self", "live"),
    member("c", "suspect"),
    member("b", "live"),
    member("a", "lost"),
  ]);
  const queried: string[] = [];
  const { answers, unanswered } = await queryMembers(fleet, ({ id }) => {
    queried.push(id);
    return Promise.resolve(
      id === "c" ? err(mayHaveRun("deadline-exceeded", "no answer")) : ok(id),
    );
  });
  t.deepEqual(answers.map(({ id }) => id), ["b", "self"]);
  t.deepEqual(unanswered, [
    { id: "a", reason: "lost: sends no heartbeats" },
    { id: "c", reason: "no answer" },
  ]);
  t.false(queried.includes("a"));
});

test("queries this instance before the first member list", async (t) => {
  const { answers } = await queryMembers(
    membership([]),
    () => Promise.resolve(ok(1)),
  );
  t.deepEqual(answers.map(({ id }) => id), ["self"]);
});

test("limits concurrent queries to a large fleet", async (t) => {
  const members = Array.from(
    { length: 360 },
    (_, index) => member(`instance-${index}`, "live"),
  );
  let active = 0;
  let maximumActive = 0;
  const { answers } = await queryMembers(
    membership([...members, member("self", "live")]),
    async () => {
      active += 1;
      maximumActive = Math.max(maximumActive, active);
      await Promise.resolve();
      active -= 1;
      return ok(1);
    },
  );
  t.is(answers.length, 361);
  t.true(maximumActive <= 32);
});
