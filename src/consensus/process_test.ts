import test from "ava";
import { rm } from "node:fs/promises";
import { eventually } from "../../testing/eventually.ts";
import { Fleet, type IFleetInstance, kill } from "../../testing/fleet.ts";
import { fetchJson, postJson } from "../../testing/http.ts";

const CHANGES_BEFORE_KILL = 15;
const TOTAL_CHANGES = 40;
const WORKERS = 3;

interface IAcknowledged {
  readonly changeId: string;
  readonly version: number;
}

/** Applies changes one after the other until enough are acknowledged. */
async function changeConfiguration(
  worker: number,
  instances: readonly IFleetInstance[],
  acknowledged: IAcknowledged[],
): Promise<void> {
  for (let count = 0; acknowledged.length < TOTAL_CHANGES; count++) {
    const changeId = `${worker}-${count}`;
    for (let attempt = 0;; attempt++) {
      const at = instances[(worker + attempt) % instances.length];
      const answer = await apply(at?.operatorsUrl ?? "", changeId);
      if (answer === "conflict") continue;
      if (answer === undefined) continue;
      acknowledged.push({ changeId, version: answer });
      break;
    }
  }
}

async function apply(
  operators: string,
  changeId: string,
): Promise<number | "conflict" | undefined> {
  try {
    const shown = await fetchJson(`${operators}/configuration`);
    const { version, document } = shown.body.accepted;
    const answer = await postJson(`${operators}/configuration`, {
      changeId,
      operator: "test",
      expectedVersion: version,
      document,
    });
    if (answer.status === 409) return "conflict";
    return answer.status === 200 ? answer.body.record.version : undefined;
  } catch {
    return undefined;
  }
}

async function findLeader(fleet: Fleet): Promise<IFleetInstance | undefined> {
  for (const instance of fleet.instances) {
    try {
      const { body } = await fetchJson(`${instance.operatorsUrl}/status`);
      if (body.log.role === "leader") return instance;
    } catch {
      // The instance is down.
    }
  }
  return undefined;
}

async function history(fleet: Fleet): Promise<IAcknowledged[]> {
  for (;;) {
    for (const { operatorsUrl: operators } of fleet.instances) {
      try {
        const url = `${operators}/configuration/history?limit=1000`;
        const answer = await fetchJson(url);
        if (answer.status === 200) return answer.body.records;
      } catch {
        // The instance is down.
      }
    }
  }
}

test("acknowledged changes survive a leader killed under load", async (t) => {
  const fleet = await Fleet.start({ instances: 3, voters: 3, engines: 1 });
  t.teardown(() => fleet.stop());
  const acknowledged: IAcknowledged[] = [];
  const load = Array.from(
    { length: WORKERS },
    (_, worker) => changeConfiguration(worker, fleet.instances, acknowledged),
  );
  while (acknowledged.length < CHANGES_BEFORE_KILL) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const leader = await findLeader(fleet);
  t.truthy(leader);
  if (leader) await kill(leader.process, "SIGKILL");
  await Promise.all(load);
  const versionsByChange = new Map(
    (await history(fleet)).map((record) => [record.changeId, record.version]),
  );
  for (const { changeId, version } of acknowledged) {
    t.is(versionsByChange.get(changeId), version, changeId);
  }
  t.is(new Set(versionsByChange.values()).size, versionsByChange.size);
});

test("voter that lost its folder rejoins and takes over", async (t) => {
  const fleet = await Fleet.start({ instances: 3, voters: 3, engines: 1 });
  t.teardown(() => fleet.stop());
  const voters = async () => {
    for (const { operatorsUrl: operators } of fleet.instances) {
      try {
        const { status, body } = await fetchJson(`${operators}/voters`);
        if (status === 200) return body;
      } catch {
        // The instance is down.
      }
    }
    return { voters: [] };
  };
  const before = await voters();
  const lost = fleet.instances.find(({ id }) => id !== before.leader);
  if (!lost) return t.fail();
  await kill(lost.process, "SIGKILL");
  await rm(lost.dataFolder ?? "", { recursive: true });
  await fleet.restart(lost);
  // deno-lint-ignore no-explicit-any
  const storageOf = ({ voters }: any) =>
    // deno-lint-ignore no-explicit-any
    voters.find(({ id }: any) => id === lost.id)?.storage;
  await eventually("votes under a new identity", async () => {
    const storageId = storageOf(await voters());
    return storageId !== undefined && storageId !== storageOf(before);
  });
  const order = { action: "transfer", voter: { id: lost.id } };
  const answer = await postJson(`${lost.operatorsUrl}/voters`, order);
  t.is(answer.status, 200);
  await eventually("leads", async () => (await voters()).leader === lost.id);
});
