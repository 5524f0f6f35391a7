import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet } from "../testing/fleet.ts";
import { readUsage } from "./process_usage.ts";
import { fitLine, median } from "./statistics.ts";

/** Sizes of the idle fleets that are compared. */
const FLEET_SIZES = [4, 8, 16];
const VOTERS = 3;

/** Time before the measurement begins. */
const WARM_UP_MILLISECONDS = 4_000;

const MEASURED_MILLISECONDS = 15_000;

interface IIdleUsage {
  readonly coreShare: number;
  readonly megabytes: number;
  readonly kilobytesPerSecond: number;
}

/** Measures the resource usage of idle instances by fleet size. */
export async function measureProcesses(): Promise<void> {
  const baseline = await measureEmptyProcess();
  console.log(
    `empty Node.js process: ${
      baseline.megabytes.toFixed(1)
    } MB anonymous memory, ` +
      `${(baseline.coreShare * 100).toFixed(2)}% of a core`,
  );
  const rows = [];
  for (const instances of FLEET_SIZES) {
    const { entry, voter, leader } = await measureFleet(instances);
    rows.push({ instances, entry, voter, leader });
  }
  console.log("idle fleets: usage per process, median over processes");
  console.table(
    rows.flatMap(({ instances, ...roles }) =>
      Object.entries(roles).map(([role, usage]) => ({
        instances,
        role,
        "core (%)": (usage.coreShare * 100).toFixed(2),
        "memory (MB)": usage.megabytes.toFixed(1),
        "above empty process (MB)": (usage.megabytes - baseline.megabytes)
          .toFixed(1),
        "RPC traffic (KB/s)": usage.kilobytesPerSecond.toFixed(2),
      }))
    ),
  );
  for (const role of ["entry", "voter", "leader"] as const) {
    const line = fitLine(rows.map(({ instances, ...roles }) => ({
      x: instances,
      y: roles[role].coreShare * 100,
    })));
    console.log(
      `${role}: ${line.offset.toFixed(3)}% + ${line.slope.toFixed(4)}% per ` +
        `instance, spread ${line.spread.toFixed(3)}%`,
    );
  }
}

async function measureEmptyProcess(): Promise<IIdleUsage> {
  const child = spawn(process.execPath, ["-e", "setInterval(() => {}, 1000)"]);
  await sleep(WARM_UP_MILLISECONDS);
  const usage = await measureUsage([{ process: child }], MEASURED_MILLISECONDS);
  child.kill("SIGKILL");
  return usage[0] ?? { coreShare: 0, megabytes: 0, kilobytesPerSecond: 0 };
}

async function measureFleet(instances: number) {
  const fleet = await Fleet.start({ instances, voters: VOTERS, engines: 2 });
  try {
    await sleep(WARM_UP_MILLISECONDS);
    const status = await fetch(`${fleet.instances[0]?.operatorsUrl}/status`);
    const { log } = await status.json() as { log?: { leader?: string } };
    const leaderId = log?.leader;
    const usages = await measureUsage(fleet.instances, MEASURED_MILLISECONDS);
    const isVoter = (index: number) => index < VOTERS;
    const isLeader = (index: number) => fleet.instances[index]?.id === leaderId;
    return {
      entry: medianUsage(usages.filter((_, index) => !isVoter(index))),
      voter: medianUsage(
        usages.filter((_, index) => isVoter(index) && !isLeader(index)),
      ),
      leader: medianUsage(usages.filter((_, index) => isLeader(index))),
    };
  } finally {
    await fleet.stop();
  }
}

async function measureUsage(
  instances: readonly { process: ChildProcess; operatorsUrl?: string }[],
  milliseconds: number,
): Promise<IIdleUsage[]> {
  const read = () =>
    Promise.all(instances.map(async (instance) => ({
      ...await readUsage(instance.process.pid ?? 0),
      bytes: await readRpcBytes(instance.operatorsUrl),
    })));
  const before = await read();
  await sleep(milliseconds);
  const after = await read();
  return after.map((usage, index) => {
    const { processorMilliseconds = 0, bytes = 0 } = before[index] ?? {};
    const spent = usage.processorMilliseconds - processorMilliseconds;
    return {
      coreShare: spent / milliseconds,
      megabytes: usage.anonymousMegabytes,
      kilobytesPerSecond: (usage.bytes - bytes) / 1.024 / milliseconds,
    };
  });
}

/** Reads the RPC bytes sent and received by an instance from its metrics. */
async function readRpcBytes(operatorsUrl: string | undefined): Promise<number> {
  if (operatorsUrl === undefined) return 0;
  const text = await (await fetch(`${operatorsUrl}/metrics`)).text();
  const lines = text.split("\n").filter((line) =>
    /^figroad_rpc\{.*[bB]ytes/.test(line)
  );
  return lines.reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
}

function medianUsage(usages: readonly IIdleUsage[]): IIdleUsage {
  return {
    coreShare: median(usages.map(({ coreShare }) => coreShare)),
    megabytes: median(usages.map(({ megabytes }) => megabytes)),
    kilobytesPerSecond: median(
      usages.map(({ kilobytesPerSecond }) => kilobytesPerSecond),
    ),
  };
}
