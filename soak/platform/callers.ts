import type { PlatformFleet } from "../../testing/platform_fleet.ts";
import type { PlatformRecord } from "./platform_record.ts";
import type { SoakEngine } from "./soak_engine.ts";

/** Time in which withdrawn keys stop working, as the users' platform has it. */
const WITHDRAWAL_MILLISECONDS = 5_000;

/** A key of the soak, and the caller that holds it. */
export interface ISoakKey {
  readonly caller: string;
  readonly key: string;
  /** Version that contains the key; undefined if all versions do. */
  readonly version: number | undefined;
}

/** Key that no version withdraws. */
export const STEADY_KEY: ISoakKey = {
  caller: "steady",
  key: "steady-key",
  version: undefined,
};

/** Key that only one version contains. */
export function changingKey(version: number): ISoakKey {
  return { caller: "changing", key: `changing-key-${version}`, version };
}

/** Callers of a version of the configuration; each version has another key. */
export function callersOf(version: number): object[] {
  return [STEADY_KEY, changingKey(version)].map(({ caller, key }) => ({
    name: caller,
    "api-keys": [key],
    "rate-per-s": 1_000,
    burst: 1_000,
  }));
}

/**
 * Checks what engines saw: the name of the caller that holds the request's key,
 * never the key, and no request that was sent long after its key was withdrawn.
 */
export function checkCallers(
  { fleet, record }: {
    fleet: PlatformFleet<SoakEngine>;
    record: PlatformRecord;
  },
): void {
  const streams = new Map(record.streams.map((it) => [it.id, it]));
  for (const { id, caller, hasKey } of fleet.engines.flatMap((it) => it.runs)) {
    if (hasKey) record.addViolation(`an engine saw the key of ${id}`);
    const stream = streams.get(id);
    if (!stream?.key) continue;
    if (caller !== stream.key.caller) {
      record.addViolation(`${id} ran for ${caller}, not ${stream.key.caller}`);
    }
    const withdrawnAt = withdrawalTime(record, stream.key);
    if (stream.startedAt > withdrawnAt + WITHDRAWAL_MILLISECONDS) {
      record.addViolation(
        `${id} ran ${stream.startedAt - withdrawnAt} ms after its key was ` +
          `withdrawn, at ${stream.entry}`,
      );
    }
  }
  for (const { id, key, status } of record.streams) {
    if (key !== STEADY_KEY || status !== 401) continue;
    record.addViolation(`${id} was refused with 401, but its key is valid`);
  }
}

/** Wall time at which a version without the key was acknowledged. */
function withdrawalTime(
  { configurations }: PlatformRecord,
  { version }: ISoakKey,
): number {
  if (version === undefined) return Number.POSITIVE_INFINITY;
  const times = configurations
    .filter((later) => later.version > version)
    .map(({ acknowledgedAt }) => acknowledgedAt ?? Number.POSITIVE_INFINITY);
  return Math.min(...times, Number.POSITIVE_INFINITY);
}
