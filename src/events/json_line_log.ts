import { Buffer } from "node:buffer";
import { write } from "node:fs";
import { type ConsolaInstance, createConsola, type LogObject } from "consola";
import type { z } from "zod";
import { Emitter, type IDisposable } from "../common/mod.ts";
import type { IEventDefinition, IEventLog } from "./types.ts";

const STANDARD_OUTPUT_DESCRIPTOR = 1;

/** Level of `consola` at which events of all levels are written. */
const MOST_VERBOSE_LEVEL = 4;

/** Lines that are written for one event in one interval. */
const MAXIMUM_LINES_PER_INTERVAL = 200;

const RATE_LIMIT_INTERVAL_MILLISECONDS = 1_000;

/** Limit of the bytes that are queued for a slow reader. */
const MAXIMUM_QUEUED_BYTES = 512 * 1024;

/**
 * Maximum bytes of one write, except for a single longer line. Writes of up
 * to this length to a pipe are atomic; a larger write may be split for the
 * reader or mixed with the data of other writers.
 */
const MAXIMUM_WRITE_BYTES = 4_096;

/** Delay before a failed write is repeated. */
const RETRY_DELAY_MILLISECONDS = 100;

/** Number of lines of an event that were dropped in one interval. */
export interface IDroppedLines {
  /** Name of the event. */
  readonly name: string;
  readonly lines: number;
}

/** Writes bytes and reports how many were written. */
export type LineOutput = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/**
 * Writes events to the standard output, one JSON object per line.
 *
 * The thread pool performs one write at a time, so a reader that stops reading
 * never blocks the process. Lines that exceed the queue or the rate limit of
 * their event are dropped. Their number is counted, and lines over the rate
 * limit are reported by `onLinesDropped`.
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
  /** Fires once a second for each event that exceeded its rate limit. */
  readonly onLinesDropped = this.#linesDropped.event;

  /** @param output receives the lines; the standard output by default. */
  constructor(instance: string, output: LineOutput = writeToStandardOutput) {
    this.#instance = instance;
    this.#output = output;
    this.#consola = createConsola({
      // The default level of consola depends on the environment.
      level: MOST_VERBOSE_LEVEL,
      // Equal lines are limited by the rate limit in emit, which counts them.
      throttle: 0,
      reporters: [{ log: (entry) => this.#enqueue(entry) }],
    });
    this.#rateLimitTimer = setInterval(
      () => this.#startInterval(),
      RATE_LIMIT_INTERVAL_MILLISECONDS,
    );
    this.#rateLimitTimer.unref();
  }

  /** Bytes that are queued or being written. */
  get queuedBytes(): number {
    return this.#queuedBytes;
  }

  /** Number of lines dropped so far. */
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

  /** Removes the lines of the next write from the queue, at least one. */
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

  /** Starts a new interval and reports the lines dropped in the last one. */
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
  write(STANDARD_OUTPUT_DESCRIPTOR, bytes, done);
}
