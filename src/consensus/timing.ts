/** Intervals and timeouts of the replication protocol, in milliseconds. */
export interface IReplicationTiming {
  /** Interval between the leader's heartbeats to each peer. */
  readonly heartbeatInterval: number;
  /**
   * Shortest election timeout. A replica that has received a message from the
   * leader within this time grants no vote to another replica. A leader
   * without contact to a quorum for this long steps down.
   */
  readonly minimumElectionTimeout: number;
  /** Largest random addition to the election timeout. */
  readonly electionTimeoutJitter: number;
  /** Longest wait for the answer to an append with entries. */
  readonly appendTimeout: number;
}

/** Timing that daemons use. */
export const DEFAULT_TIMING: IReplicationTiming = {
  heartbeatInterval: 300,
  minimumElectionTimeout: 1_500,
  electionTimeoutJitter: 1_000,
  appendTimeout: 10_000,
};

/**
 * Timing for voters with a network latency of a few milliseconds. After the
 * loss of a leader, another one is elected within twice the longest election
 * timeout.
 */
export const LOW_LATENCY_TIMING: IReplicationTiming = {
  heartbeatInterval: 100,
  minimumElectionTimeout: 500,
  electionTimeoutJitter: 400,
  appendTimeout: 3_000,
};

/**
 * Bound on the difference in rate between two monotonic clocks, as a fraction.
 * A leader's lease is shorter by this fraction than the time during which
 * voters grant no vote to another replica.
 */
export const CLOCK_DRIFT_BOUND = 0.05;
