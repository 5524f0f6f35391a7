import { readFile } from "node:fs/promises";

/** Clock ticks per second in /proc (USER_HZ). */
const TICKS_PER_SECOND = 100;

/** Processor time and memory of a process. */
export interface IProcessUsage {
  /** User and system time since its start, in milliseconds. */
  readonly processorMilliseconds: number;
  /** Resident memory that is not backed by files, in MB. */
  readonly anonymousMegabytes: number;
  /** Resident memory, in MB. */
  readonly residentMegabytes: number;
}

/** Reads the usage of a process from /proc. */
export async function readUsage(pid: number): Promise<IProcessUsage> {
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  return {
    processorMilliseconds: ticks * 1_000 / TICKS_PER_SECOND,
    anonymousMegabytes: kilobytes(status, "RssAnon") / 1_024,
    residentMegabytes: kilobytes(status, "VmRSS") / 1_024,
  };
}

function kilobytes(status: string, field: string): number {
  return Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1] ?? 0);
}
