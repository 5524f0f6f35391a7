import { Buffer } from "node:buffer";
import { write } from "node:fs";
import { type ConsolaInstance, createConsola, type LogObject } from "consola";
import type { z } from "zod";
import type { IDisposable } from "../common/mod.ts";
import type { IEventDefinition, IEventLog } from "./types.ts";

/** File descriptor of the standard output. */
const STANDARD_OUTPUT = 1;

/** Lines of one event that are written in a second. */
const LINES_PER_SECOND = 200;

/** Length of the budget's period, in milliseconds. */
const PERIOD_MILLISECONDS = 1_000;

/** Lines that may wait for a reader, in bytes. */
const MAXIMUM_QUEUED_BYTES = 512 * 1024;

/** Pause before lines are written again after an error, in milliseconds. */
const RETRY_MILLISECONDS = 100;

/**
 * Writes events to the standard output, one JSON object a line.
 *
 * Lines are written by the thread pool, one write at a time, so a reader that
 * stops reading never blocks the process: what does not fit into the queue or
 * into an event's budget is left out, and the number is written later.
 */
export class JsonLineLog implements IEventLog, IDisposable {
  #consola: ConsolaInstance;
  #instance: string;
  #queue: Buffer[] = [];
  #queuedBytes = 0;
  #isWriting = false;
  #counts = new Map<string, number>();
  #dropped = 0;
  #period: NodeJS.Timeout;

  constructor(instance: string) {
    this.#instance = instance;
    this.#consola = createConsola({
      reporters: [{ log: (entry) => this.#enqueue(entry) }],
    });
    this.#period = setInterval(() => this.#renew(), PERIOD_MILLISECONDS);
    this.#period.unref();
  }

  /** Lines left out so far. */
  get droppedLines(): number {
    return this.#dropped;
  }

  emit<S extends z.ZodRawShape>(
    event: IEventDefinition<S>,
    fields: z.infer<z.ZodObject<S>>,
  ): void {
    const count = (this.#counts.get(event.name) ?? 0) + 1;
    this.#counts.set(event.name, count);
    if (count > LINES_PER_SECOND) return;
    this.#consola[event.level]({
      event: event.number,
      name: event.name,
      level: event.level,
      ...fields,
    });
  }

  dispose(): void {
    clearInterval(this.#period);
  }

  #enqueue(entry: LogObject): void {
    const [record] = entry.args as [object];
    const at = entry.date.toISOString();
    const line = JSON.stringify({ at, instance: this.#instance, ...record });
    const bytes = Buffer.from(`${line}\n`);
    if (this.#queuedBytes + bytes.length > MAXIMUM_QUEUED_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#queue.push(bytes);
    this.#queuedBytes += bytes.length;
    if (!this.#isWriting) this.#write();
  }

  #write(): void {
    const bytes = Buffer.concat(this.#queue);
    this.#queue = [];
    this.#isWriting = true;
    write(STANDARD_OUTPUT, bytes, (error, written) => {
      const rest = bytes.subarray(error ? 0 : written);
      this.#queuedBytes -= bytes.length - rest.length;
      if (rest.length > 0) this.#queue.unshift(rest);
      if (this.#queue.length === 0) this.#isWriting = false;
      else if (error) setTimeout(() => this.#write(), RETRY_MILLISECONDS);
      else this.#write();
    });
  }

  /** Begins a new period and tells what the last one left out. */
  #renew(): void {
    for (const [name, count] of this.#counts) {
      if (count <= LINES_PER_SECOND) continue;
      const lines = count - LINES_PER_SECOND;
      this.#dropped += lines;
      this.#consola.warn({ name: "lines-left-out", of: name, lines });
    }
    this.#counts.clear();
  }
}
