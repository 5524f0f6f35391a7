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

/** Kinds of faults, all brought about from outside the processes. */
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
  "cut-engine",
  "reset-engine",
  "silence-engine",
  "lose-answers-of-engine",
  "delay-engine",
  "freeze-engine",
  "break-engine-list",
] as const;
export type PlatformFaultKind = typeof PLATFORM_FAULT_KINDS[number];

/** Port of the metrics of every process. */
const METRICS_PORT = 9_464;

/** Bytes of a write that was torn, at most. */
const TORN_BYTES = 200;

/** Delay of a slow link, in milliseconds. */
const DELAY_MILLISECONDS = 120;

/** Pause between two looks at a store that comes back, in milliseconds. */
const REVIEW_MILLISECONDS = 200;

/** Longest wait for a store to have caught up, in milliseconds. */
const CATCH_UP_MILLISECONDS = 30_000;

/** What a fault works on. */
export interface IFaultParts {
  readonly fleet: PlatformFleet<SoakEngine>;
  readonly record: PlatformRecord;
  /** Names that another fault works on, and whether a disk is lost. */
  readonly busy: Set<string>;
}

/** Marks that a disk is lost and not replaced yet. */
const LOST_DISK = "(a disk)";

/** Carries out a fault and resolves when it has ended. */
export async function runPlatformFault(
  parts: IFaultParts,
  fault: IScheduledFault<PlatformFaultKind>,
): Promise<void> {
  const { fleet, record, busy } = parts;
  const entry = fleet.entries[fault.choice % fleet.entries.length]!;
  const store = fleet.stores[fault.choice % fleet.stores.length]!;
  const engine = fleet.engines[fault.choice % fleet.engines.length]!;
  const { relay } = engine;
  if (/engine/.test(fault.kind)) record.engineFaults.push(Date.now());
  const alone = (names: readonly string[], run: () => Promise<void>) =>
    exclusively(busy, names, run);
  const onEntry = (run: () => Promise<void>) => alone([entry.name], run);
  const onStore = (run: () => Promise<void>) => alone([store.name], run);
  const whileSet = async (set: () => void, unset: () => void) => {
    set();
    await sleep(fault.lasts);
    unset();
    if (/engine/.test(fault.kind)) record.engineFaults.push(Date.now());
  };
  await match(fault.kind)
    .with("kill-entry", () => onEntry(() => kill(parts, entry, fault)))
    .with("kill-store", () => onStore(() => kill(parts, store, fault)))
    .with("freeze-entry", () => onEntry(() => freeze(entry, fault)))
    .with("freeze-store", () => onStore(() => freeze(store, fault)))
    .with("stop-entry", () => onEntry(() => stop(parts, entry)))
    .with("stop-store", () => onStore(() => stop(parts, store)))
    .with(
      "wipe-store",
      () => alone([store.name, LOST_DISK], () => wipe(parts, store, fault)),
    )
    .with("tear-log-of-store", () => onStore(() => tear(parts, store, fault)))
    .with(
      "kill-all-stores",
      () =>
        alone(fleet.stores.map(({ name }) => name), async () => {
          await Promise.all(
            fleet.stores.map((each) => kill(parts, each, { lasts: 0 })),
          );
        }),
    )
    .with(
      "cut-engine",
      () => whileSet(() => relay?.disconnect(), () => relay?.heal()),
    )
    .with("reset-engine", () => {
      relay?.resetOpenConnections();
      return Promise.resolve();
    })
    .with("silence-engine", () => {
      relay?.silenceOpenConnections();
      return Promise.resolve();
    })
    .with("lose-answers-of-engine", () =>
      whileSet(
        () => relay!.dropsAnswers = true,
        () => relay!.dropsAnswers = false,
      ))
    .with("delay-engine", () =>
      whileSet(
        () => relay!.delayMilliseconds = DELAY_MILLISECONDS,
        () => relay!.delayMilliseconds = 0,
      ))
    .with(
      "freeze-engine",
      () =>
        whileSet(() => engine.isFrozen = true, () => engine.isFrozen = false),
    )
    .with("break-engine-list", () =>
      whileSet(
        () => fleet.isListBroken = true,
        () => fleet.isListBroken = false,
      ))
    .exhaustive();
}

/** Runs a fault unless another one works on the same things. */
async function exclusively(
  busy: Set<string>,
  names: readonly string[],
  run: () => Promise<void>,
): Promise<void> {
  if (names.some((name) => busy.has(name))) return;
  for (const name of names) busy.add(name);
  try {
    await run();
  } finally {
    for (const name of names) busy.delete(name);
  }
}

async function end({ child }: IRoleProcess, signal: NodeJS.Signals) {
  if (child.exitCode !== null || child.signalCode !== null) return;
  child.kill(signal);
  await once(child, "exit");
}

async function kill(
  { fleet }: IFaultParts,
  target: IRoleProcess,
  { lasts }: { lasts: number },
): Promise<void> {
  await end(target, "SIGKILL");
  await sleep(lasts);
  fleet.restart(target);
}

async function freeze(
  { child }: IRoleProcess,
  { lasts }: { lasts: number },
): Promise<void> {
  child.kill("SIGSTOP");
  await sleep(lasts);
  child.kill("SIGCONT");
}

async function stop(
  { fleet, record }: IFaultParts,
  target: IRoleProcess,
): Promise<void> {
  const planned = {
    entry: target.name,
    beganAt: Date.now(),
    endedAt: Number.POSITIVE_INFINITY,
  };
  record.stops.push(planned);
  await end(target, "SIGTERM");
  planned.endedAt = Date.now();
  if (target.child.exitCode !== 0) {
    record.violate(`${target.name} stopped with ${target.child.exitCode}`);
  }
  fleet.restart(target);
}

/** Replaces a store's disk by an empty one and waits until it is filled. */
async function wipe(
  parts: IFaultParts,
  store: IRoleProcess,
  { lasts }: { lasts: number },
): Promise<void> {
  const { fleet } = parts;
  await end(store, "SIGKILL");
  await fleet.wipeDisk(store);
  await sleep(lasts);
  const before = await Promise.all(fleet.stores.map(applied));
  const needed = Math.max(...before.map((index) => index ?? 0));
  fleet.restart(store);
  const deadline = Date.now() + CATCH_UP_MILLISECONDS;
  while (Date.now() < deadline) {
    await sleep(REVIEW_MILLISECONDS);
    if ((await applied(store) ?? -1) >= needed) return;
  }
  parts.record.violate(`${store.name} did not catch up after its disk's loss`);
}

/** Leaves a torn write behind what the log has synced. */
async function tear(
  { fleet }: IFaultParts,
  store: IRoleProcess,
  { lasts }: { lasts: number },
): Promise<void> {
  await end(store, "SIGKILL");
  const files = await readdir(store.dataFolder, { recursive: true });
  const last = files.filter((name) => name.endsWith(".wal")).sort().at(-1);
  if (last !== undefined) {
    const torn = randomBytes(1 + fleet.stores.indexOf(store) * TORN_BYTES / 2);
    await appendFile(join(store.dataFolder, last), torn);
  }
  await sleep(lasts);
  fleet.restart(store);
}

/** Last entry that a store has applied; undefined while it is away. */
async function applied({ address }: IRoleProcess): Promise<number | undefined> {
  const message = { method: "GET", path: "/metrics" };
  const endpoint = { address, port: METRICS_PORT };
  const answer = await sendRequest(endpoint, message).catch(() => undefined);
  const found = /figroad_log\{kind="applied"\} (\d+)/.exec(answer?.text ?? "");
  return found ? Number(found[1]) : undefined;
}
