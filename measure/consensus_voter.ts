// Runs a voter as a child process that receives commands over IPC.
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { z } from "zod";
import { SystemClock } from "../src/common/mod.ts";
import {
  DEFAULT_COMPACTION,
  FolderStorage,
  type IStateSection,
  ReplicatedLog,
} from "../src/consensus/mod.ts";
import { EventLog } from "../src/events/mod.ts";
import { RpcClient, RpcServer } from "../src/rpc/mod.ts";

const PROPOSAL_TIMEOUT_MILLISECONDS = 10_000;

const settingsSchema = z.object({
  id: z.string(),
  folder: z.string(),
  voters: z.array(z.object({
    id: z.string(),
    address: z.string(),
    port: z.number(),
    failureDomain: z.string(),
  })),
  compactionEntries: z.number(),
});
export type VoterSettings = z.infer<typeof settingsSchema>;

/** Commands of the parent process to a voter. */
export const voterCommandSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("load"),
    proposers: z.number(),
    bytes: z.number(),
    milliseconds: z.number(),
    /** Number of commands after which the load ends early. */
    maximum: z.number(),
  }),
  z.object({
    kind: z.literal("report"),
    /** Whether to collect garbage first, which uses processor time. */
    collectGarbage: z.boolean(),
  }),
]);
export type VoterCommand = z.infer<typeof voterCommandSchema>;

/** State of a voter process. */
export interface IVoterReport {
  readonly isLeader: boolean;
  readonly startMilliseconds: number;
  readonly appliedIndex: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
  readonly heapBytes: number;
}

/** Result of a load command. */
export interface ILoadReport {
  readonly latencies: number[];
  readonly milliseconds: number;
}

/** State section that counts commands without storing them. */
class CountingSection implements IStateSection {
  readonly definition = {
    name: "counting",
    command: z.object({ text: z.string() }),
    output: z.number(),
  };
  #count = 0;

  apply(): number {
    this.#count += 1;
    return this.#count;
  }

  snapshot() {
    return Promise.resolve({ state: this.#count, files: [] });
  }

  restore(snapshot: { state?: unknown }): Promise<void> {
    this.#count = Number(snapshot.state);
    return Promise.resolve();
  }

  reset(): Promise<void> {
    this.#count = 0;
    return Promise.resolve();
  }
}

const settings = settingsSchema.parse(JSON.parse(process.argv[2] ?? "{}"));
const clock = new SystemClock();
const events = new EventLog(settings.id, "error");
const server = new RpcServer(clock, events);
const rpc = new RpcClient(settings.id, clock, { events });
const self = settings.voters.find(({ id }) => id === settings.id);
if (!self) throw new Error("this voter is not in the list of voters");
await server.listen(self.address, self.port);
const startedAt = performance.now();
const log = new ReplicatedLog(self, [new CountingSection()], {
  rpc,
  server,
  storage: new FolderStorage(settings.folder),
  clock,
  events,
  founders: () => settings.voters,
  start: "bootstrap",
  compaction: { ...DEFAULT_COMPACTION, entries: settings.compactionEntries },
});
await log.start();
while (log.leadership.leader === undefined) await sleep(1);
while (log.status().appliedIndex < log.status().commitIndex) await sleep(1);
if (log.leadership.isLeader) {
  await log.barrier({
    deadline: clock.deadlineIn(PROPOSAL_TIMEOUT_MILLISECONDS),
  });
}
const startMilliseconds = performance.now() - startedAt;

process.on(
  "message",
  (message) => void handleCommand(voterCommandSchema.parse(message)),
);
process.send?.({ ready: true });

async function handleCommand(command: VoterCommand): Promise<void> {
  if (command.kind === "load") process.send?.(await runLoad(command));
  else process.send?.(createReport(command.collectGarbage));
}

function createReport(collect: boolean): IVoterReport {
  if (collect) globalThis.gc?.();
  const { bytesSent, bytesReceived } = rpc.statistics;
  return {
    isLeader: log.leadership.isLeader,
    startMilliseconds,
    appliedIndex: log.status().appliedIndex,
    bytesSent,
    bytesReceived,
    heapBytes: process.memoryUsage().heapUsed,
  };
}

async function runLoad(
  command: VoterCommand & { kind: "load" },
): Promise<ILoadReport> {
  const text = "x".repeat(command.bytes);
  const loadStartedAt = performance.now();
  const latencies: number[] = [];
  const propose = async () => {
    while (
      performance.now() - loadStartedAt < command.milliseconds &&
      latencies.length < command.maximum
    ) {
      const sentAt = performance.now();
      const deadline = clock.deadlineIn(PROPOSAL_TIMEOUT_MILLISECONDS);
      const answer = await log.propose("counting", { text }, { deadline });
      if (answer.isErr()) throw new Error(answer.error.message);
      latencies.push(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({ length: command.proposers }, propose));
  return { latencies, milliseconds: performance.now() - loadStartedAt };
}
