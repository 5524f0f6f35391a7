/** Periods of the replication protocol, in milliseconds. */
export interface IReplicationTiming {
  /** Period of the leader's heartbeats to each peer. */
  readonly heartbeatInterval: number;
  /**
   * Silence of the leader before which no replica votes for another one.
   * A leader without contact to a quorum for this long steps down.
   */
  readonly minimumElectionTimeout: number;
  /** Random addition to the election timeout. */
  readonly electionTimeoutJitter: number;
  /** Longest wait for the answer to an append with entries. */
  readonly appendTimeout: number;
}

/** Periods that daemons use. */
export const DEFAULT_TIMING: IReplicationTiming = {
  heartbeatInterval: 300,
  minimumElectionTimeout: 1_500,
  electionTimeoutJitter: 1_000,
  appendTimeout: 10_000,
};

/**
 * Periods for voters a few milliseconds apart. Another leader is elected
 * within twice the longest election timeout.
 */
export const LOW_LATENCY_TIMING: IReplicationTiming = {
  heartbeatInterval: 100,
  minimumElectionTimeout: 500,
  electionTimeoutJitter: 400,
  appendTimeout: 3_000,
};

/**
 * Bound on the difference in rate between two monotonic clocks. A leader's
 * lease is shorter by this share than the time for which voters hold still.
 */
export const CLOCK_DRIFT_BOUND = 0.05;
