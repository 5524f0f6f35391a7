import { rm } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import { type IFleetInstance, kill } from "../testing/fleet.ts";
import { fetchJson } from "../testing/http.ts";
import type { TestRandom } from "../testing/test_random.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakRecord } from "./soak_record.ts";

export const FAULT_KINDS = [
  "kill-instance",
  "freeze-instance",
  "stop-instance",
  "wipe-data-of-instance",
  "isolate-voter",
  "silence-voter-connections",
  "disconnect-engine",
  "freeze-engine",
  "silence-engine-streams",
  "drop-answers-of-plain-service",
] as const;

export type FaultKind = typeof FAULT_KINDS[number];

export interface IScheduledFault<K = FaultKind> {
  readonly kind: K;
  /** Start of the fault, relative to the start of the load. */
  readonly startMilliseconds: number;
  readonly durationMilliseconds: number;
  /**
   * Random number that selects the affected instance or engine: its index is
   * this number modulo the count of instances or engines.
   */
  readonly choice: number;
}

/** Shortest and longest pause between two faults, in milliseconds. */
const MINIMUM_PAUSE_MILLISECONDS = 300;
const MAXIMUM_PAUSE_MILLISECONDS = 2_500;

/** Shortest and longest fault, in milliseconds. */
const MINIMUM_FAULT_MILLISECONDS = 200;
const MAXIMUM_FAULT_MILLISECONDS = 8_000;

/** Longest wait for a replaced voter to vote again, in milliseconds. */
const REJOIN_TIMEOUT_MILLISECONDS = 30_000;

/**
 * Interval and timeout of status requests to a replaced voter, in
 * milliseconds.
 */
const REJOIN_PROBE_INTERVAL_MILLISECONDS = 500;

/** Key in the set of busy subjects while a data folder is being replaced. */
const DATA_LOSS_KEY = "(data folders)";

/** Generates a schedule; the same seed gives the same schedule. */
export function generateSchedule<K>(
  random: TestRandom,
  milliseconds: number,
  kinds: readonly K[],
): IScheduledFault<K>[] {
  const faults: IScheduledFault<K>[] = [];
  let startMilliseconds = 0;
  for (;;) {
    startMilliseconds += random.integer(
      MINIMUM_PAUSE_MILLISECONDS,
      MAXIMUM_PAUSE_MILLISECONDS,
    );
    if (startMilliseconds >= milliseconds) return faults;
    const kind = random.pick(kinds);
    const durationMilliseconds = random.integer(
      MINIMUM_FAULT_MILLISECONDS,
      MAXIMUM_FAULT_MILLISECONDS,
    );
    faults.push({
      kind,
      startMilliseconds,
      durationMilliseconds,
      choice: random.integer(0, 1_000),
    });
  }
}

/** Injects the scheduled faults; resolves when every fault has ended. */
export async function runFaults(
  fleet: SoakFleet,
  record: SoakRecord,
  schedule: readonly IScheduledFault[],
): Promise<void> {
  const start = Date.now();
  const busySubjects = new Set<string>();
  const running = schedule.map(async (fault) => {
    await sleep(Math.max(0, start + fault.startMilliseconds - Date.now()));
    await runFault(fleet, record, { fault, busySubjects });
  });
  await Promise.all(running);
}

async function runFault(
  fleet: SoakFleet,
  record: SoakRecord,
  options: { fault: IScheduledFault; busySubjects: Set<string> },
): Promise<void> {
  const { fault, busySubjects } = options;
  const instances = fleet.fleet.instances;
  const instance = instances[fault.choice % instances.length];
  const engine = fleet.engines[fault.choice % fleet.engines.length];
  const isInstanceFault = /instance|voter/.test(fault.kind);
  const subject = isInstanceFault ? instance?.id : engine?.id;
  // At most one fault at a time affects an instance or engine.
  if (!instance || !engine || !subject || busySubjects.has(subject)) return;
  busySubjects.add(subject);
  record.injectedFaults.push({
    description: `${fault.kind} ${subject}`,
    at: Date.now(),
  });
  const relay = fleet.voterRelays.get(instance.id);
  await match(fault.kind)
    .with("kill-instance", () => killInstance(fleet, instance, fault))
    .with("freeze-instance", () => freezeInstance(instance, fault))
    .with(
      "wipe-data-of-instance",
      () => wipeData(fleet, { instance, fault, busySubjects }),
    )
    .with("stop-instance", () => stopInstance(fleet, record, instance))
    .with("isolate-voter", async () => {
      relay?.isolate();
      await sleep(fault.durationMilliseconds);
      relay?.heal();
      relay?.resetOpenConnections();
    })
    .with("silence-voter-connections", () => {
      relay?.silenceOpenConnections();
      return Promise.resolve();
    })
    .with("disconnect-engine", async () => {
      engine.relay.disconnect();
      await sleep(fault.durationMilliseconds);
      engine.relay.heal();
    })
    .with("freeze-engine", () => {
      engine.standin.freeze(fault.durationMilliseconds);
      return sleep(fault.durationMilliseconds);
    })
    .with("silence-engine-streams", () => {
      engine.relay.silenceOpenConnections();
      return Promise.resolve();
    })
    .with("drop-answers-of-plain-service", async () => {
      fleet.plain.dropsAnswers = true;
      await sleep(fault.durationMilliseconds);
      fleet.plain.dropsAnswers = false;
    })
    .exhaustive();
  busySubjects.delete(subject);
}

async function killInstance(
  fleet: SoakFleet,
  instance: IFleetInstance,
  fault: IScheduledFault,
): Promise<void> {
  await kill(instance.process, "SIGKILL");
  await sleep(fault.durationMilliseconds);
  await fleet.fleet.restart(instance);
}

async function freezeInstance(
  instance: IFleetInstance,
  fault: IScheduledFault,
): Promise<void> {
  const frozen = instance.process;
  frozen.kill("SIGSTOP");
  await sleep(fault.durationMilliseconds);
  frozen.kill("SIGCONT");
}

async function stopInstance(
  fleet: SoakFleet,
  record: SoakRecord,
  instance: IFleetInstance,
): Promise<void> {
  const stop = {
    instance: instance.id,
    startedAt: Date.now(),
    endedAt: Number.POSITIVE_INFINITY,
    exitCode: 0 as number | null,
  };
  record.plannedStops.push(stop);
  stop.exitCode = await kill(instance.process, "SIGTERM");
  stop.endedAt = Date.now();
  await fleet.fleet.restart(instance);
}

/**
 * Restarts an instance with an empty data folder. At most one data folder is
 * lost at a time, because a quorum must keep the acknowledged entries. If the
 * voter does not rejoin in time, no further data folder is wiped.
 */
async function wipeData(
  fleet: SoakFleet,
  options: {
    instance: IFleetInstance;
    fault: IScheduledFault;
    busySubjects: Set<string>;
  },
): Promise<void> {
  const { instance, fault, busySubjects } = options;
  if (instance.dataFolder && busySubjects.has(DATA_LOSS_KEY)) return;
  busySubjects.add(DATA_LOSS_KEY);
  await kill(instance.process, "SIGKILL");
  if (instance.dataFolder) {
    await rm(instance.dataFolder, { recursive: true, force: true });
  }
  await sleep(fault.durationMilliseconds);
  await fleet.fleet.restart(instance);
  if (instance.dataFolder && !await waitUntilVoting(instance)) return;
  busySubjects.delete(DATA_LOSS_KEY);
}

/** Resolves with whether the instance votes again before the timeout. */
async function waitUntilVoting(instance: IFleetInstance): Promise<boolean> {
  const deadline = Date.now() + REJOIN_TIMEOUT_MILLISECONDS;
  while (Date.now() < deadline) {
    await sleep(REJOIN_PROBE_INTERVAL_MILLISECONDS);
    const signal = AbortSignal.timeout(REJOIN_PROBE_INTERVAL_MILLISECONDS);
    const answer = await fetchJson(`${instance.operatorsUrl}/status`, {
      signal,
    })
      .catch(() => undefined);
    const role = answer?.body?.log?.role;
    if (role === "leader" || role === "follower") return true;
  }
  return false;
}
