import { writeFileSync } from "node:fs";

/** Record of what was sent, answered and run, with the time of each line. */
export class Recorder {
  #path: string;
  #lines: string[] = [];
  #startedAt = performance.now();

  constructor(path: string) {
    this.#path = path;
  }

  write(line: string): void {
    const seconds = (performance.now() - this.#startedAt) / 1_000;
    this.#lines.push(`${seconds.toFixed(3)} ${line}`);
  }

  save(): void {
    writeFileSync(this.#path, `${this.#lines.join("\n")}\n`);
  }
}
