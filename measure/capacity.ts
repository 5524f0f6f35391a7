import { measureConfiguration } from "./capacity_configuration.ts";
import { measureJobs } from "./capacity_jobs.ts";
import { measureProcesses } from "./capacity_processes.ts";

/** Measures the cost per unit from which docs/CAPACITY.md is calculated. */
export async function measure(options: readonly string[]): Promise<void> {
  const isSelected = (name: string) =>
    options.length === 0 || options.includes(name);
  if (isSelected("configuration")) measureConfiguration();
  if (isSelected("jobs")) await measureJobs();
  if (isSelected("processes")) await measureProcesses();
}
