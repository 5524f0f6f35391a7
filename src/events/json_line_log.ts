import { Buffer } from "node:buffer";
import { write } from "node:fs";
import { type ConsolaInstance, createConsola, type LogObject } from "consola";
import type { z } from "zod";
import { Emitter, type IDisposable } from "../common/mod.ts";
import type { IEventDefinition, IEventLog } from "./types.ts";

/** File descriptor of the standard output. */
const STANDARD_OUTPUT = 1;

/** Level of the library at which all events are written. */
const EVERY_LEVEL = 4;

/** Lines of one event that are written in a second. */
const LINES_PER_SECOND = 200;

/** Length of the budget's period, in milliseconds. */
const PERIOD_MILLISECONDS = 1_000;

/** Lines that may wait for a reader, in bytes. */
const MAXIMUM_QUEUED_BYTES = 512 * 1024;

/**
 * Bytes of one write, but for a longer line. A pipe takes so many at once;
 * readers and other writers may cut up a larger write.
 */
const MAXIMUM_WRITE_BYTES = 4_096;

/** Pause before lines are written again after an error, in milliseconds. */
const RETRY_MILLISECONDS = 100;

/** Lines of an event that were not written. */
export interface ILeftOutLines {
  /** Name of the event. */
  readonly name: string;
  readonly lines: number;
}

/** Writes bytes and tells how many were taken. */
export type LineOutput = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

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
  #output: LineOutput;
  #leftOut = new Emitter<ILeftOutLines>();
  /** Fires once a second for each event that exceeded its budget. */
  readonly onLeftOut = this.#leftOut.event;

  /** @param output where lines go; the standard output unless given. */
  constructor(instance: string, output: LineOutput = writeToStandardOutput) {
    this.#instance = instance;
    this.#output = output;
    this.#consola = createConsola({
      // The library's own default depends on the environment.
      level: EVERY_LEVEL,
      // Equal lines are bounded by the budget below, which counts them.
      throttle: 0,
      reporters: [{ log: (entry) => this.#enqueue(entry) }],
    });
    this.#period = setInterval(() => this.#renew(), PERIOD_MILLISECONDS);
    this.#period.unref();
  }

  /** Lines that wait to be written, in bytes. */
  get queuedBytes(): number {
    return this.#queuedBytes;
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
    const bytes = this.#nextWrite();
    this.#isWriting = true;
    this.#output(bytes, (error, written) => {
      const rest = bytes.subarray(error ? 0 : written);
      this.#queuedBytes -= bytes.length - rest.length;
      if (rest.length > 0) this.#queue.unshift(rest);
      if (this.#queue.length === 0) this.#isWriting = false;
      else if (error) setTimeout(() => this.#write(), RETRY_MILLISECONDS);
      else this.#write();
    });
  }

  /** Takes whole lines from the queue, at least one. */
  #nextWrite(): Buffer {
    let count = 0;
    let size = 0;
    for (const { length } of this.#queue) {
      if (count > 0 && size + length > MAXIMUM_WRITE_BYTES) break;
      count += 1;
      size += length;
    }
    return Buffer.concat(this.#queue.splice(0, count));
  }

  /** Begins a new period and tells what the last one left out. */
  #renew(): void {
    const counts = this.#counts;
    this.#counts = new Map();
    for (const [name, count] of counts) {
      if (count <= LINES_PER_SECOND) continue;
      const lines = count - LINES_PER_SECOND;
      this.#dropped += lines;
      this.#leftOut.fire({ name, lines });
    }
  }
}

function writeToStandardOutput(
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
): void {
  write(STANDARD_OUTPUT, bytes, done);
}
