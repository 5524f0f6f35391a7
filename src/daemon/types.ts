/** Ports that a daemon listens on. */
export interface IDaemonPorts {
  readonly callers: number;
  readonly peers: number;
  readonly operators: number;
}

/** A running daemon. */
export interface IDaemon {
  readonly ports: IDaemonPorts;
  /** Stops gracefully, within the limits of the settings. */
  stop(): Promise<void>;
}
