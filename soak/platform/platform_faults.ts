import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { appendFile, readdir } from "node:fs/promises";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import {
  type IRoleProcess,
  type PlatformFleet,
  sendRequest,
} from "../../testing/platform_fleet.ts";
import type { IScheduledFault } from "../faults.ts";
import type { PlatformRecord } from "./platform_record.ts";
import type { SoakEngine } from "./soak_engine.ts";

/** Kinds of faults, all injected from outside the processes. */
export const PLATFORM_FAULT_KINDS = [
  "kill-entry",
  "freeze-entry",
  "stop-entry",
  "kill-store",
  "freeze-store",
  "stop-store",
  "wipe-store",
  "tear-log-of-store",
  "kill-all-stores",
  "disconnect-engine",
  "reset-engine",
  "silence-engine",
  "drop-answers-of-engine",
  "delay-engine",
  "freeze-engine",
  "break-engine-list",
] as const;
export type PlatformFaultKind = typeof PLATFORM_FAULT_KINDS[number];

/** Metrics port of every process. */
const METRICS_PORT = 9_464;

/** Approximate size of the largest torn write, in bytes. */
const TORN_BYTES_LIMIT = 200;

/** Delay that a slow link adds, in milliseconds. */
const LINK_DELAY_MILLISECONDS = 120;

/** Interval between two probes of a wiped store, in milliseconds. */
const CATCH_UP_PROBE_INTERVAL_MILLISECONDS = 200;

/** Longest wait for a wiped store to catch up, in milliseconds. */
const CATCH_UP_TIMEOUT_MILLISECONDS = 30_000;

/** Inputs of a fault. */
export interface IFaultContext {
  readonly fleet: PlatformFleet<SoakEngine>;
  readonly record: PlatformRecord;
  /** Processes that a fault affects, and `DISK_LOSS_KEY` during a disk loss. */
  readonly busyNames: Set<string>;
}

/**
 * Key in `busyNames` from the loss of a disk until its store has caught up;
 * only one disk is lost at a time.
 */
const DISK_LOSS_KEY = "(a disk)";

/** Injects a fault; resolves when it has ended. */
export async function runPlatformFault(
  context: IFaultContext,
  fault: IScheduledFault<PlatformFaultKind>,
): Promise<void> {
  const { fleet, record, busyNames } = context;
  const entry = fleet.entries[fault.choice % fleet.entries.length]!;
  const store = fleet.stores[fault.choice % fleet.stores.length]!;
  const engine = fleet.engines[fault.choice % fleet.engines.length]!;
  const { relay } = engine;
  if (/engine/.test(fault.kind)) record.engineFaultTimes.push(Date.now());
  const unlessBusy = (names: readonly string[], run: () => Promise<void>) =>
    runUnlessBusy(busyNames, names, run);
  const onEntry = (run: () => Promise<void>) => unlessBusy([entry.name], run);
  const onStore = (run: () => Promise<void>) => unlessBusy([store.name], run);
  const applyFault = async (apply: () => void, revert: () => void) => {
    apply();
    await sleep(fault.durationMilliseconds);
    revert();
    if (/engine/.test(fault.kind)) record.engineFaultTimes.push(Date.now());
  };
  const storeFault = { startedAt: Date.now(), endedAt: Infinity };
  if (/store/.test(fault.kind)) record.storeFaults.push(storeFault);
  await match(fault.kind)
    .with(
      "kill-entry",
      () => onEntry(() => killAndRestart(context, entry, fault)),
    )
    .with(
      "kill-store",
      () => onStore(() => killAndRestart(context, store, fault)),
    )
    .with(
      "freeze-entry",
      () => onEntry(() => freezeProcess(context, entry, fault)),
    )
    .with(
      "freeze-store",
      () => onStore(() => freezeProcess(context, store, fault)),
    )
    .with("stop-entry", () => onEntry(() => stopAndRestart(context, entry)))
    .with("stop-store", () => onStore(() => stopAndRestart(context, store)))
    .with(
      "wipe-store",
      () =>
        unlessBusy(
          [store.name, DISK_LOSS_KEY],
          () => wipeStore(context, store, fault),
        ),
    )
    .with(
      "tear-log-of-store",
      () => onStore(() => tearLog(context, store, fault)),
    )
    .with(
      "kill-all-stores",
      () =>
        unlessBusy(fleet.stores.map(({ name }) => name), async () => {
          await Promise.all(
            fleet.stores.map((each) =>
              killAndRestart(context, each, { durationMilliseconds: 0 })
            ),
          );
        }),
    )
    .with(
      "disconnect-engine",
      () => applyFault(() => relay?.disconnect(), () => relay?.heal()),
    )
    .with("reset-engine", () => {
      relay?.resetOpenConnections();
      return Promise.resolve();
    })
    .with("silence-engine", () => {
      relay?.silenceOpenConnections();
      return Promise.resolve();
    })
    .with("drop-answers-of-engine", () =>
      applyFault(
        () => relay!.dropsAnswers = true,
        () => relay!.dropsAnswers = false,
      ))
    .with("delay-engine", () =>
      applyFault(
        () => relay!.delayMilliseconds = LINK_DELAY_MILLISECONDS,
        () => relay!.delayMilliseconds = 0,
      ))
    .with(
      "freeze-engine",
      () =>
        applyFault(() => engine.isFrozen = true, () => engine.isFrozen = false),
    )
    .with("break-engine-list", () =>
      applyFault(
        () => fleet.isListBroken = true,
        () => fleet.isListBroken = false,
      ))
    .exhaustive();
  storeFault.endedAt = Date.now();
}

/** Runs a fault unless another fault uses one of the same names. */
async function runUnlessBusy(
  busyNames: Set<string>,
  names: readonly string[],
  run: () => Promise<void>,
): Promise<void> {
  if (names.some((name) => busyNames.has(name))) return;
  for (const name of names) busyNames.add(name);
  try {
    await run();
  } finally {
    for (const name of names) busyNames.delete(name);
  }
}

async function endProcess({ child }: IRoleProcess, signal: NodeJS.Signals) {
  if (child.exitCode !== null || child.signalCode !== null) return;
  child.kill(signal);
  await once(child, "exit");
}

async function killAndRestart(
  { fleet, record }: IFaultContext,
  target: IRoleProcess,
  { durationMilliseconds }: { durationMilliseconds: number },
): Promise<void> {
  await endProcess(target, "SIGKILL");
  record.processFaults.push({ name: target.name, at: Date.now() });
  await sleep(durationMilliseconds);
  fleet.restart(target);
}

async function freezeProcess(
  { record }: IFaultContext,
  { name, child }: IRoleProcess,
  { durationMilliseconds }: { durationMilliseconds: number },
): Promise<void> {
  child.kill("SIGSTOP");
  await sleep(durationMilliseconds);
  child.kill("SIGCONT");
  record.processFaults.push({ name, at: Date.now() });
}

async function stopAndRestart(
  { fleet, record }: IFaultContext,
  target: IRoleProcess,
): Promise<void> {
  const plannedStop = {
    processName: target.name,
    startedAt: Date.now(),
    endedAt: Number.POSITIVE_INFINITY,
  };
  record.plannedStops.push(plannedStop);
  await endProcess(target, "SIGTERM");
  plannedStop.endedAt = Date.now();
  record.processFaults.push({ name: target.name, at: plannedStop.endedAt });
  if (target.child.exitCode !== 0) {
    record.addViolation(`${target.name} exited with ${target.child.exitCode}`);
  }
  fleet.restart(target);
}

/** Restarts a store with an empty disk and waits until it has caught up. */
async function wipeStore(
  context: IFaultContext,
  store: IRoleProcess,
  { durationMilliseconds }: { durationMilliseconds: number },
): Promise<void> {
  const { fleet } = context;
  await endProcess(store, "SIGKILL");
  await fleet.wipeDisk(store);
  await sleep(durationMilliseconds);
  const appliedIndexes = await Promise.all(fleet.stores.map(readAppliedIndex));
  const requiredIndex = Math.max(...appliedIndexes.map((index) => index ?? 0));
  fleet.restart(store);
  const deadline = Date.now() + CATCH_UP_TIMEOUT_MILLISECONDS;
  while (Date.now() < deadline) {
    await sleep(CATCH_UP_PROBE_INTERVAL_MILLISECONDS);
    if ((await readAppliedIndex(store) ?? -1) >= requiredIndex) return;
  }
  context.record.addViolation(
    `${store.name} did not catch up after its disk was wiped`,
  );
}

/** Appends a torn write after the synced end of a store's log. */
async function tearLog(
  { fleet }: IFaultContext,
  store: IRoleProcess,
  { durationMilliseconds }: { durationMilliseconds: number },
): Promise<void> {
  await endProcess(store, "SIGKILL");
  const files = await readdir(store.dataFolder, { recursive: true });
  const last = files.filter((name) => name.endsWith(".wal")).sort().at(-1);
  if (last !== undefined) {
    const torn = randomBytes(
      1 + fleet.stores.indexOf(store) * TORN_BYTES_LIMIT / 2,
    );
    await appendFile(join(store.dataFolder, last), torn);
  }
  await sleep(durationMilliseconds);
  fleet.restart(store);
}

/**
 * Index of the last entry that a store has applied; undefined if the store does
 * not answer.
 */
async function readAppliedIndex(
  { address }: IRoleProcess,
): Promise<number | undefined> {
  const message = { method: "GET", path: "/metrics" };
  const endpoint = { address, port: METRICS_PORT };
  const answer = await sendRequest(endpoint, message).catch(() => undefined);
  const found = /figroad_log\{kind="applied"\} (\d+)/.exec(answer?.text ?? "");
  return found ? Number(found[1]) : undefined;
}
