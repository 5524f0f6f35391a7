/** What a caller was told about a request at the end. */
export type RequestOutcome =
  | { kind: "answer"; text: string }
  | { kind: "not-run" }
  | { kind: "may-have-run" }
  /** The connection broke, so the caller knows nothing. */
  | { kind: "broken"; afterHead: boolean }
  /** The caller itself stopped waiting. */
  | { kind: "gave-up" };

/** A live or plain request and what its caller was told. */
export interface IRequestRecord {
  readonly kind: "live" | "once" | "plain";
  readonly prompt: string;
  readonly expected: string;
  readonly instance: string;
  readonly startedAt: number;
  endedAt: number;
  outcome: RequestOutcome | undefined;
}

/** A batch job and what its caller was told. */
export interface IJobRecord {
  readonly key: string;
  /** Names the prompts of the job's items. */
  readonly name: string;
  readonly items: number;
  /** Items that an engine always refuses. */
  readonly refusedItems: ReadonlySet<number>;
  /** Identifiers in the answers to submissions under this key. */
  readonly ids: Set<string>;
  cancelledAt: number | undefined;
}

/** A configuration change and what its operator was told. */
export interface IChangeRecord {
  readonly changeId: string;
  readonly expectedVersion: number;
  acceptedVersion: number | undefined;
}

/** A time in which an instance was being stopped as planned. */
export interface IPlannedStop {
  readonly instance: string;
  readonly startedAt: number;
  endedAt: number;
  exitCode: number | null;
}

/** The soak's own record, independent of what figroad stores. */
export class SoakRecord {
  readonly requests: IRequestRecord[] = [];
  readonly jobs: IJobRecord[] = [];
  readonly changes: IChangeRecord[] = [];
  readonly plannedStops: IPlannedStop[] = [];
  /** Times at which an instance or an engine was disturbed. */
  readonly injectedFaults: { description: string; at: number }[] = [];
  /** Broken lines, in the order in which they were found. */
  readonly violations: string[] = [];

  addViolation(line: string): void {
    this.violations.push(line);
  }
}
