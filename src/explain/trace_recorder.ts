import { Buffer } from "node:buffer";
import type { IClock } from "../common/mod.ts";
import type { ITraceReader, SubjectTrace, TraceStep } from "./types.ts";

/** Maximum number of requests and items whose steps are kept. */
const DEFAULT_MAXIMUM_SUBJECTS = 20_000;

/** Maximum size of all steps that are kept, in bytes. */
const DEFAULT_MAXIMUM_BYTES = 8 * 1024 * 1024;

/** Maximum number of steps of one request or item. */
const MAXIMUM_STEPS_PER_SUBJECT = 64;

/** Estimated size of a step without its texts, in bytes. */
const STEP_OVERHEAD_BYTES = 64;

/** Steps of one request or item. */
interface ISubjectRecord {
  steps: TraceStep[];
  dropped: number;
  bytes: number;
}

/** Memory limits of a recorder. */
export interface ITraceBounds {
  readonly maximumSubjects?: number;
  readonly maximumBytes?: number;
}

/**
 * Records the steps of requests and items in bounded memory.
 *
 * A request or item is called a subject. If there are too many subjects or
 * bytes, the subject whose last step is the oldest is evicted with all of its
 * steps. A subject with too many steps loses its oldest ones. `keptSince` says
 * how far back the traces are complete.
 */
export class TraceRecorder implements ITraceReader {
  #instance: string;
  #clock: IClock;
  #maximumSubjects: number;
  #maximumBytes: number;
  /** Ordered by last step, oldest first. */
  #subjects = new Map<string, ISubjectRecord>();
  #bytes = 0;
  #keptSince: number;

  constructor(instance: string, clock: IClock, bounds: ITraceBounds = {}) {
    this.#instance = instance;
    this.#clock = clock;
    this.#maximumSubjects = bounds.maximumSubjects ?? DEFAULT_MAXIMUM_SUBJECTS;
    this.#maximumBytes = bounds.maximumBytes ?? DEFAULT_MAXIMUM_BYTES;
    this.#keptSince = clock.wall();
  }

  get subjectCount(): number {
    return this.#subjects.size;
  }

  /** Estimated size of all subjects and their steps, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  record(
    subject: string,
    step: string,
    details: { target?: string; reason?: string } = {},
  ): void {
    const entry: TraceStep = {
      at: this.#clock.wall(),
      instance: this.#instance,
      step,
      ...details,
    };
    const record = this.#touch(subject);
    record.steps.push(entry);
    this.#addBytes(record, estimateBytes(entry));
    if (record.steps.length > MAXIMUM_STEPS_PER_SUBJECT) {
      this.#dropOldestStep(record);
    }
    this.#evict();
  }

  read(subject: string): readonly TraceStep[] {
    return this.#subjects.get(subject)?.steps ?? [];
  }

  trace(subject: string): SubjectTrace {
    const record = this.#subjects.get(subject);
    return {
      steps: record?.steps ?? [],
      droppedSteps: record?.dropped ?? 0,
      keptSince: this.#keptSince,
    };
  }

  /** Moves a subject to the end of the order, or adds it there. */
  #touch(subject: string): ISubjectRecord {
    const record = this.#subjects.get(subject);
    if (record) {
      this.#subjects.delete(subject);
      this.#subjects.set(subject, record);
      return record;
    }
    const created = { steps: [], dropped: 0, bytes: 0 };
    this.#subjects.set(subject, created);
    this.#addBytes(created, Buffer.byteLength(subject));
    return created;
  }

  #dropOldestStep(record: ISubjectRecord): void {
    const oldest = record.steps.shift();
    if (!oldest) return;
    record.dropped += 1;
    this.#addBytes(record, -estimateBytes(oldest));
  }

  #evict(): void {
    for (const [subject, record] of this.#subjects) {
      const fits = this.#subjects.size <= this.#maximumSubjects &&
        this.#bytes <= this.#maximumBytes;
      if (fits) return;
      this.#subjects.delete(subject);
      this.#bytes -= record.bytes;
      this.#keptSince = record.steps.at(-1)?.at ?? this.#keptSince;
    }
  }

  #addBytes(record: ISubjectRecord, bytes: number): void {
    record.bytes += bytes;
    this.#bytes += bytes;
  }
}

function estimateBytes(entry: TraceStep): number {
  const texts = [entry.step, entry.target ?? "", entry.reason ?? ""];
  const length = texts.reduce(
    (total, text) => total + Buffer.byteLength(text),
    0,
  );
  return length + STEP_OVERHEAD_BYTES;
}
