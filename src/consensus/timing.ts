/** Periods of the replication protocol, in milliseconds. */
export interface ITiming {
  /** Period of the leader's heartbeats to each peer. */
  readonly heartbeat: number;
  /**
   * Silence of the leader before which no replica votes for another one.
   * A leader without contact to a quorum for this long steps down.
   */
  readonly electionMinimum: number;
  /** Random addition to the election timeout. */
  readonly electionSpread: number;
  /** Longest wait for the answer to an append with entries. */
  readonly append: number;
}

/** Periods that daemons use. */
export const DEFAULT_TIMING: ITiming = {
  heartbeat: 300,
  electionMinimum: 1_500,
  electionSpread: 1_000,
  append: 10_000,
};

/**
 * Periods for voters a few milliseconds apart. Another leader is elected
 * within twice the longest election timeout.
 */
export const PROMPT_TIMING: ITiming = {
  heartbeat: 100,
  electionMinimum: 500,
  electionSpread: 400,
  append: 3_000,
};

/**
 * Bound on the difference in rate between two monotonic clocks. A leader's
 * lease is shorter by this share than the time for which voters hold still.
 */
export const CLOCK_DRIFT_BOUND = 0.05;
