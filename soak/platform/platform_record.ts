/** What became of a streamed request, as its client saw it. */
export interface IStreamRecord {
  readonly id: string;
  readonly kind: "resumable" | "once";
  readonly entry: string;
  readonly startedAt: number;
  endedAt: number;
  /** Undefined when no answer came. */
  status: number | undefined;
  /** Whether the answer came whole. */
  isWhole: boolean;
  text: string;
}

/** A result as a client read it. */
export interface IReadResult {
  readonly id: string;
  readonly state: string;
  readonly text: string;
}

/** A batch job and what its client was told. */
export interface ISoakJob {
  readonly id: string;
  readonly items: readonly { id: string; isPoison: boolean }[];
  isAccepted: boolean;
  /** Whether each attempt so far was told that no part of it runs. */
  isRefused: boolean;
  /** Wall time at which its end was acknowledged. */
  endedAt: number | undefined;
  /** Whether its end was sent, acknowledged or not. */
  isEndSent: boolean;
  /** Results by position, as read first. */
  readonly results: IReadResult[];
}

/** A configuration that an operator sent. */
export interface ISoakConfiguration {
  readonly version: number;
  readonly source: string;
  isAcknowledged: boolean;
}

/** A time in which an entry was being stopped as planned. */
export interface IProcessStop {
  readonly processName: string;
  readonly startedAt: number;
  endedAt: number;
}

/** The soak's own record, independent of what figroad stores. */
export class PlatformRecord {
  readonly streams: IStreamRecord[] = [];
  readonly jobs: ISoakJob[] = [];
  readonly configurations: ISoakConfiguration[] = [];
  readonly plannedStops: IProcessStop[] = [];
  /** Times at which engines or their connections were disturbed. */
  readonly engineFaultTimes: number[] = [];
  /** Broken promises, in the order in which they were found. */
  readonly violations: string[] = [];

  addViolation(message: string): void {
    this.violations.push(message);
  }

  /** Highest version that was acknowledged. */
  highestAcknowledgedVersion(): number {
    const versions = this.configurations
      .filter(({ isAcknowledged }) => isAcknowledged)
      .map(({ version }) => version);
    return Math.max(0, ...versions);
  }
}
