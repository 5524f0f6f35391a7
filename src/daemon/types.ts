/** Ports that a daemon listens on. */
export interface IDaemonPorts {
  readonly callers: number;
  readonly peers: number;
  readonly operators: number;
}

/** A running daemon. */
export interface IDaemon {
  readonly ports: IDaemonPorts;
  /** Stops without cutting off a request in progress. */
  stop(): Promise<void>;
}
