import type { ISoakKey } from "./callers.ts";

/** A streamed request as its client observed it. */
export interface IStreamRecord {
  readonly id: string;
  readonly kind: "resumable" | "once";
  readonly entry: string;
  /** Key that it was sent with; absent if callers have none. */
  readonly key?: ISoakKey | undefined;
  readonly startedAt: number;
  endedAt: number;
  /** Undefined if no response headers arrived. */
  status: number | undefined;
  /** Whether the answer is complete. */
  isComplete: boolean;
  text: string;
  /** Engine that announced in the answer that it leaves. */
  leavingEngine: string | undefined;
  /** Attempt in which a resumed stream began, and its complete events. */
  readonly resumed?: { readonly id: string; readonly text: string } | undefined;
}

/** A result as a client read it. */
export interface IReadResult {
  readonly id: string;
  readonly state: string;
  readonly text: string;
}

/** A batch job as its client observed it. */
export interface ISoakJob {
  readonly id: string;
  readonly items: readonly { id: string; isPoison: boolean }[];
  isAccepted: boolean;
  /**
   * Whether every submission so far was refused with a status that rules out
   * that any item runs.
   */
  isRefused: boolean;
  /** Wall time at which the request to end it was acknowledged. */
  endedAt: number | undefined;
  /** Whether a request to end it was sent, acknowledged or not. */
  isEndSent: boolean;
  /** Results by position, as first read. */
  readonly results: IReadResult[];
}

/** A configuration that an operator sent. */
export interface ISoakConfiguration {
  readonly version: number;
  readonly source: string;
  isAcknowledged: boolean;
  /** Wall time of the acknowledgement. */
  acknowledgedAt?: number;
}

/** A planned stop of an entry or store, from SIGTERM to the exit. */
export interface IProcessStop {
  readonly processName: string;
  readonly startedAt: number;
  endedAt: number;
}

/** Time in which a fault affected a store. */
export interface IStoreFault {
  readonly startedAt: number;
  endedAt: number;
}

/** Time in which some entries had lost their links to all engines. */
export interface IStranding {
  readonly entries: readonly string[];
  /** Entries without a process when it began. */
  readonly absentEntries: readonly string[];
  readonly startedAt: number;
  readonly endedAt: number;
}

/** Observations of the soak, independent of the state that figroad stores. */
export class PlatformRecord {
  readonly streams: IStreamRecord[] = [];
  readonly storeFaults: IStoreFault[] = [];
  stranding: IStranding | undefined;
  readonly jobs: ISoakJob[] = [];
  readonly configurations: ISoakConfiguration[] = [];
  readonly plannedStops: IProcessStop[] = [];
  /**
   * Wall times at which a fault of an engine, its link or the engine list
   * starts or ends.
   */
  readonly engineFaultTimes: number[] = [];
  /** Kills, freezes and stops of processes: name and wall times. */
  readonly processFaults: { readonly name: string; readonly at: number }[] = [];
  /** Violated guarantees, in the order in which they were found. */
  readonly violations: string[] = [];

  addViolation(message: string): void {
    this.violations.push(message);
  }

  highestAcknowledgedVersion(): number {
    const versions = this.configurations
      .filter(({ isAcknowledged }) => isAcknowledged)
      .map(({ version }) => version);
    return Math.max(0, ...versions);
  }
}
