import { appendFileSync, writeFileSync } from "node:fs";

/** Writes what was sent, answered and run, one JSON line for each event. */
export class Record {
  #path: string;
  #startedAt = performance.now();

  constructor(path: string) {
    this.#path = path;
    writeFileSync(path, "");
  }

  add(kind: string, fields: object = {}): void {
    const milliseconds = Math.round(performance.now() - this.#startedAt);
    const line = JSON.stringify({ milliseconds, kind, ...fields });
    appendFileSync(this.#path, `${line}\n`);
  }
}
