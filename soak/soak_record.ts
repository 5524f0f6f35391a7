/** Outcome of a request as its caller observed it. */
export type RequestOutcome =
  | { kind: "answer"; text: string }
  | { kind: "not-run" }
  | { kind: "may-have-run" }
  /** The connection broke; the caller cannot tell whether the request ran. */
  | { kind: "broken"; afterHead: boolean }
  /** The caller timed out. */
  | { kind: "gave-up" };

/**
 * A request as its caller observed it: a live request, a non-idempotent request
 * to a model ("once") or a request to a plain service.
 */
export interface IRequestRecord {
  readonly kind: "live" | "once" | "plain";
  readonly prompt: string;
  readonly expected: string;
  readonly instance: string;
  readonly startedAt: number;
  endedAt: number;
  outcome: RequestOutcome | undefined;
}

/** A batch job as its caller observed it. */
export interface IJobRecord {
  /** Idempotency key. */
  readonly key: string;
  /** Prefix of the prompts of the job's items. */
  readonly name: string;
  readonly items: number;
  /** Indexes of the items that every engine refuses. */
  readonly refusedItems: ReadonlySet<number>;
  /** Job ids in the answers to submissions under this key. */
  readonly ids: Set<string>;
  cancelledAt: number | undefined;
}

/** A configuration change as its operator observed it. */
export interface IChangeRecord {
  readonly changeId: string;
  readonly expectedVersion: number;
  acceptedVersion: number | undefined;
}

/** A planned stop of an instance, from SIGTERM to the exit. */
export interface IPlannedStop {
  readonly instance: string;
  readonly startedAt: number;
  endedAt: number;
  exitCode: number | null;
}

/** Observations of the soak, independent of the state that figroad stores. */
export class SoakRecord {
  readonly requests: IRequestRecord[] = [];
  readonly jobs: IJobRecord[] = [];
  readonly changes: IChangeRecord[] = [];
  readonly plannedStops: IPlannedStop[] = [];
  /** Faults injected into instances and engines, with their wall times. */
  readonly injectedFaults: { description: string; at: number }[] = [];
  /** Violated guarantees, in the order in which they were found. */
  readonly violations: string[] = [];

  addViolation(message: string): void {
    this.violations.push(message);
  }
}
