import { Buffer } from "node:buffer";
import { write } from "node:fs";
import { type ConsolaInstance, createConsola, type LogObject } from "consola";
import type { z } from "zod";
import { Emitter, type IDisposable } from "../common/mod.ts";
import type { IEventDefinition, IEventLog } from "./types.ts";

/** File descriptor of the standard output. */
const STANDARD_OUTPUT = 1;

/** Level of the library at which all events are written. */
const MOST_VERBOSE_LEVEL = 4;

/** Lines of one event that are written in a second. */
const MAXIMUM_LINES_PER_INTERVAL = 200;

/** Length of the budget's period, in milliseconds. */
const RATE_LIMIT_INTERVAL_MILLISECONDS = 1_000;

/** Lines that may wait for a reader, in bytes. */
const MAXIMUM_QUEUED_BYTES = 512 * 1024;

/**
 * Bytes of one write, but for a longer line. A pipe takes so many at once;
 * readers and other writers may cut up a larger write.
 */
const MAXIMUM_WRITE_BYTES = 4_096;

/** Pause before lines are written again after an error, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100;

/** Lines of an event that were not written. */
export interface IDroppedLines {
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
  #lineCounts = new Map<string, number>();
  #droppedLines = 0;
  #rateLimitTimer: NodeJS.Timeout;
  #output: LineOutput;
  #linesDropped = new Emitter<IDroppedLines>();
  /** Fires once a second for each event that exceeded its budget. */
  readonly onLinesDropped = this.#linesDropped.event;

  /** @param output where lines go; the standard output unless given. */
  constructor(instance: string, output: LineOutput = writeToStandardOutput) {
    this.#instance = instance;
    this.#output = output;
    this.#consola = createConsola({
      // The library's own default depends on the environment.
      level: MOST_VERBOSE_LEVEL,
      // Equal lines are bounded by the budget below, which counts them.
      throttle: 0,
      reporters: [{ log: (entry) => this.#enqueue(entry) }],
    });
    this.#rateLimitTimer = setInterval(
      () => this.#startInterval(),
      RATE_LIMIT_INTERVAL_MILLISECONDS,
    );
    this.#rateLimitTimer.unref();
  }

  /** Lines that wait to be written, in bytes. */
  get queuedBytes(): number {
    return this.#queuedBytes;
  }

  /** Lines left out so far. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  emit<S extends z.ZodRawShape>(
    event: IEventDefinition<S>,
    fields: z.infer<z.ZodObject<S>>,
  ): void {
    const count = (this.#lineCounts.get(event.name) ?? 0) + 1;
    this.#lineCounts.set(event.name, count);
    if (count > MAXIMUM_LINES_PER_INTERVAL) return;
    this.#consola[event.level]({
      event: event.number,
      name: event.name,
      level: event.level,
      ...fields,
    });
  }

  dispose(): void {
    clearInterval(this.#rateLimitTimer);
  }

  #enqueue(entry: LogObject): void {
    const [record] = entry.args as [object];
    const at = entry.date.toISOString();
    const line = JSON.stringify({ at, instance: this.#instance, ...record });
    const bytes = Buffer.from(`${line}\n`);
    if (this.#queuedBytes + bytes.length > MAXIMUM_QUEUED_BYTES) {
      this.#droppedLines += 1;
      return;
    }
    this.#queue.push(bytes);
    this.#queuedBytes += bytes.length;
    if (!this.#isWriting) this.#write();
  }

  #write(): void {
    const bytes = this.#dequeueBatch();
    this.#isWriting = true;
    this.#output(bytes, (error, written) => {
      const unwritten = bytes.subarray(error ? 0 : written);
      this.#queuedBytes -= bytes.length - unwritten.length;
      if (unwritten.length > 0) this.#queue.unshift(unwritten);
      if (this.#queue.length === 0) this.#isWriting = false;
      else if (error) setTimeout(() => this.#write(), RETRY_DELAY_MILLISECONDS);
      else this.#write();
    });
  }

  /** Takes whole lines from the queue, at least one. */
  #dequeueBatch(): Buffer {
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
  #startInterval(): void {
    const counts = this.#lineCounts;
    this.#lineCounts = new Map();
    for (const [name, count] of counts) {
      if (count <= MAXIMUM_LINES_PER_INTERVAL) continue;
      const lines = count - MAXIMUM_LINES_PER_INTERVAL;
      this.#droppedLines += lines;
      this.#linesDropped.fire({ name, lines });
    }
  }
}

function writeToStandardOutput(
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
): void {
  write(STANDARD_OUTPUT, bytes, done);
}
