// Measures the replicated log: npm run measure -- consensus
import { type ChildProcess, fork } from "node:child_process";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { reservePorts } from "../testing/ports.ts";
import type {
  ILoadReport,
  IVoterReport,
  VoterCommand,
  VoterSettings,
} from "./consensus_voter.ts";
import { readUsage } from "./process_usage.ts";
import { median, quantile } from "./statistics.ts";

const VOTER = fileURLToPath(new URL("./consensus_voter.js", import.meta.url));
const RUNS = 3;
const LOAD_PHASE_MILLISECONDS = 2_000;
const IDLE_PHASE_MILLISECONDS = 20_000;
const ELECTION_RUNS = 7;
const UNLIMITED_COMMANDS = 1_000_000;
const NO_COMPACTION = 10_000_000;
const MEMORY_ENTRIES = 8_000;
const MEMORY_ENTRY_BYTES = 200;

interface IVoter {
  readonly settings: VoterSettings;
  process: ChildProcess;
}

/** Voters in separate processes, with a common temporary folder. */
class VoterGroup {
  readonly voters: IVoter[] = [];
  #folder: string;

  private constructor(folder: string) {
    this.#folder = folder;
  }

  static async start(
    count: number,
    compactionEntries = 10_000,
  ): Promise<VoterGroup> {
    const group = new VoterGroup(await mkdtemp(join(tmpdir(), "consensus-")));
    const ports = await reservePorts(count);
    const voters = ports.map((port, index) => ({
      id: `voter-${index}`,
      address: "127.0.0.1",
      port,
      failureDomain: `domain-${index}`,
    }));
    const starts = voters.map(async ({ id }) => {
      const folder = join(group.#folder, id);
      const settings = { id, folder, voters, compactionEntries };
      group.voters.push({ settings, process: await startVoter(settings) });
    });
    await Promise.all(starts);
    return group;
  }

  async report(voter: IVoter, collect = false): Promise<IVoterReport> {
    return await sendCommand<IVoterReport>(voter, {
      kind: "report",
      collectGarbage: collect,
    });
  }

  async leader(): Promise<IVoter> {
    for (;;) {
      for (const voter of this.voters) {
        if ((await this.report(voter)).isLeader) return voter;
      }
      await sleep(50);
    }
  }

  async isAnyLeader(voters: readonly IVoter[]): Promise<boolean> {
    const reports = voters.map((voter) => this.report(voter));
    return (await Promise.all(reports)).some(({ isLeader }) => isLeader);
  }

  async load(
    proposers: number,
    bytes: number,
    maximum = UNLIMITED_COMMANDS,
  ): Promise<ILoadReport> {
    const milliseconds = maximum === UNLIMITED_COMMANDS
      ? LOAD_PHASE_MILLISECONDS
      : 60_000;
    const command = { kind: "load", proposers, bytes, milliseconds, maximum };
    return await sendCommand<ILoadReport>(
      await this.leader(),
      command as VoterCommand,
    );
  }

  async restart(voter: IVoter): Promise<void> {
    await killProcess(voter.process);
    voter.process = await startVoter(voter.settings);
  }

  async stop(): Promise<void> {
    await Promise.all(this.voters.map((voter) => killProcess(voter.process)));
    await rm(this.#folder, { recursive: true, force: true });
  }
}

function startVoter(settings: VoterSettings): Promise<ChildProcess> {
  const child = fork(VOTER, [JSON.stringify(settings)], {
    execArgv: ["--expose-gc"],
  });
  return new Promise((resolve) => child.once("message", () => resolve(child)));
}

function sendCommand<T>(voter: IVoter, command: VoterCommand): Promise<T> {
  return new Promise((resolve) => {
    voter.process.once("message", (answer) => resolve(answer as T));
    voter.process.send(command);
  });
}

function killProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGKILL");
  });
}

async function measureCommits(voters: number): Promise<void> {
  const group = await VoterGroup.start(voters);
  for (const bytes of [200, 4_000]) {
    for (const proposers of [1, 16, 128]) {
      const rates: number[] = [];
      const medians: number[] = [];
      const tails: number[] = [];
      for (let run = 0; run < RUNS; run++) {
        const load = await group.load(proposers, bytes);
        rates.push(load.latencies.length / load.milliseconds * 1_000);
        medians.push(median(load.latencies));
        tails.push(quantile(load.latencies, 0.99));
      }
      printRow([
        `${voters} voters`,
        `${proposers} proposers`,
        `${bytes} B`,
        `${median(rates).toFixed(0)} commits/s`,
        `p50 ${median(medians).toFixed(2)} ms`,
        `p99 ${median(tails).toFixed(2)} ms`,
      ]);
    }
  }
  await group.stop();
}

/** Measures processor time, RPC traffic and memory of idle voters. */
export async function measureIdle(voters: number): Promise<void> {
  const group = await VoterGroup.start(voters);
  const leader = await group.leader();
  await sleep(2_000);
  const reports = (voter: IVoter) =>
    Promise.all([
      readUsage(voter.process.pid ?? 0),
      group.report(voter),
    ]);
  const before = await Promise.all(group.voters.map(reports));
  await sleep(IDLE_PHASE_MILLISECONDS);
  const after = await Promise.all(group.voters.map(reports));
  for (const [index, voter] of group.voters.entries()) {
    const [usage, report] = after[index]!;
    const [earlierUsage, earlierReport] = before[index]!;
    const processor = usage.processorMilliseconds -
      earlierUsage.processorMilliseconds;
    const bytes = report.bytesSent + report.bytesReceived -
      earlierReport.bytesSent - earlierReport.bytesReceived;
    printRow([
      `${voters} voters idle`,
      voter === leader ? "leader" : "follower",
      `${(processor / IDLE_PHASE_MILLISECONDS * 100).toFixed(2)}% of a core`,
      `${(bytes / IDLE_PHASE_MILLISECONDS).toFixed(2)} KB/s of outgoing RPCs`,
      `${usage.anonymousMegabytes.toFixed(1)} MB anonymous`,
    ]);
  }
  await group.stop();
}

/** Measures the time without a leader after the leader is killed. */
export async function measureElection(voters: number): Promise<void> {
  const group = await VoterGroup.start(voters);
  const outages: number[] = [];
  for (let run = 0; run < ELECTION_RUNS; run++) {
    const oldLeader = await group.leader();
    await sleep(1_000);
    const killedAt = performance.now();
    await killProcess(oldLeader.process);
    const others = group.voters.filter((voter) => voter !== oldLeader);
    while (!await group.isAnyLeader(others)) await sleep(10);
    outages.push(performance.now() - killedAt);
    await group.restart(oldLeader);
  }
  printRow([
    `${voters} voters, leader killed`,
    `median ${median(outages).toFixed(0)} ms`,
    `longest ${Math.max(...outages).toFixed(0)} ms of ${ELECTION_RUNS}`,
  ]);
  await group.stop();
}

async function measureMemory(): Promise<void> {
  const sizes: number[] = [];
  for (let run = 0; run < RUNS; run++) {
    const group = await VoterGroup.start(1, NO_COMPACTION);
    const voter = await group.leader();
    await group.load(64, MEMORY_ENTRY_BYTES, 500);
    const before = await group.report(voter, true);
    await group.load(64, MEMORY_ENTRY_BYTES, MEMORY_ENTRIES);
    const after = await group.report(voter, true);
    const entries = after.appliedIndex - before.appliedIndex;
    sizes.push((after.heapBytes - before.heapBytes) / entries);
    await group.stop();
  }
  printRow([
    `memory of an entry of ${MEMORY_ENTRY_BYTES} B`,
    `${median(sizes).toFixed(0)} B`,
  ]);
}

async function measureRestart(): Promise<void> {
  const group = await VoterGroup.start(1, NO_COMPACTION);
  const voter = await group.leader();
  for (const entries of [1_000, 9_000, 40_000]) {
    await group.load(64, MEMORY_ENTRY_BYTES, entries);
    const times: number[] = [];
    for (let run = 0; run < RUNS; run++) {
      await group.restart(voter);
      times.push((await group.report(voter)).startMilliseconds);
    }
    const { appliedIndex } = await group.report(voter);
    printRow([
      `restart with ${appliedIndex} entries`,
      `${median(times).toFixed(0)} ms`,
    ]);
  }
  await group.stop();
}

function printRow(cells: readonly string[]): void {
  console.log(cells.map((cell) => cell.padEnd(16)).join("  "));
}

/** Measures commits, idle usage, elections, memory and restarts. */
export async function measure(): Promise<void> {
  for (const voters of [1, 3, 5]) await measureCommits(voters);
  for (const voters of [1, 3, 5]) await measureIdle(voters);
  for (const voters of [3, 5]) await measureElection(voters);
  await measureMemory();
  await measureRestart();
}
