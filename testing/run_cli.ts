import { spawn } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";

const CLI = fileURLToPath(new URL("../src/cli/figroad.js", import.meta.url));

/** Result of a run of the command-line tool. */
export interface ICliRun {
  readonly exitCode: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs `figroad` in a child process. */
export function runCli(
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<ICliRun> {
  const child = spawn(process.execPath, [CLI, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, ...environment },
  });
  let stdout = "";
  let stderr = "";
  child.stdout.setEncoding("utf8").on("data", (part) => stdout += part);
  child.stderr.setEncoding("utf8").on("data", (part) => stderr += part);
  return new Promise((resolve) => {
    child.once("close", (exitCode) => resolve({ exitCode, stdout, stderr }));
  });
}
