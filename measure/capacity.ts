import { measureConfiguration } from "./capacity_configuration.ts";
import { measureJobs } from "./capacity_jobs.ts";
import { measureProcesses } from "./capacity_processes.ts";

/** Measures the slopes that docs/CAPACITY.md is worked out from. */
export async function measure(options: readonly string[]): Promise<void> {
  const isChosen = (name: string) =>
    options.length === 0 || options.includes(name);
  if (isChosen("configuration")) measureConfiguration();
  if (isChosen("jobs")) await measureJobs();
  if (isChosen("processes")) await measureProcesses();
}
