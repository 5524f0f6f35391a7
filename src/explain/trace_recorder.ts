import { Buffer } from "node:buffer";
import type { IClock } from "../common/mod.ts";
import type { ITraceReader, SubjectTrace, TraceStep } from "./types.ts";

/** Requests and items whose steps are kept. */
const DEFAULT_MAXIMUM_SUBJECTS = 20_000;

/** Size of all kept steps, in bytes. */
const DEFAULT_MAXIMUM_BYTES = 8 * 1024 * 1024;

/** Steps that one request or item may hold. */
const MAXIMUM_STEPS_PER_SUBJECT = 64;

/** Size that a step takes beside its texts, in bytes. */
const STEP_OVERHEAD_BYTES = 64;

/** Steps of one request or item. */
interface ISubjectRecord {
  steps: TraceStep[];
  dropped: number;
  bytes: number;
}

/** Bounds of a recorder's memory. */
export interface ITraceBounds {
  readonly maximumSubjects?: number;
  readonly maximumBytes?: number;
}

/**
 * Keeps steps in memory, bounded by the number of subjects and by bytes.
 *
 * The subject whose last step is the oldest is dropped first, as a whole. A
 * subject that holds many steps loses its oldest ones. Readers learn from
 * `keptSince` how far back the memory reaches.
 */
export class TraceRecorder implements ITraceReader {
  #instance: string;
  #clock: IClock;
  #maximumSubjects: number;
  #maximumBytes: number;
  /** In the order of their last step. */
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

  /** Size of what is kept, in bytes; an estimate. */
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

  /** Moves a subject to the end of the order, or begins it there. */
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
