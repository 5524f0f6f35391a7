import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { answersLate, connectionSilent, peerSilent } from "./events.ts";
import { RpcConnection } from "./rpc_connection.ts";
import type { IRpcStatistics, PeerAddress, RpcLane } from "./types.ts";

/** Interval at which all open connections are checked. */
const CHECK_INTERVAL_MILLISECONDS = 500;

/** Silence after which a connection is pinged. */
const PING_AFTER_MILLISECONDS = 1_500;

/** Silence after which the peer is probed over a new connection. */
const PROBE_AFTER_MILLISECONDS = 2_500;

/** Timeout of a probe over a new connection. */
const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** Minimum interval between two probes for the same connection. */
const PROBE_INTERVAL_MILLISECONDS = 2_000;

/** Time without calls after which a connection is closed. */
const IDLE_TIMEOUT_MILLISECONDS = 30_000;

export interface IConnectionPoolOptions {
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly statistics: IRpcStatistics;
}

interface IProbe {
  /** Earliest time of the next probe. */
  readonly notBefore: Deadline;
}

/**
 * Connections to peers, one for each peer and lane.
 *
 * A connection that is silent while calls are pending does not prove that the
 * peer is down: a device on the network path may have dropped its state of
 * the connection. The connection is replaced only after the peer has
 * responded on a new one.
 */
export class ConnectionPool implements IDisposable {
  #localId: string;
  #clock: IClock;
  #events: IEventLog;
  #statistics: IRpcStatistics;
  #pooled = new Map<string, Promise<RpcConnection>>();
  /** All open connections with their keys in the pool. */
  #openConnections = new Map<RpcConnection, string>();
  #probes = new Map<RpcConnection, IProbe>();
  #pinged = new WeakSet<RpcConnection>();
  #checkTimer: NodeJS.Timeout;
  #disposed = false;

  constructor(localId: string, options: IConnectionPoolOptions) {
    this.#localId = localId;
    this.#clock = options.clock;
    this.#events = options.events;
    this.#statistics = options.statistics;
    this.#checkTimer = setInterval(
      () => this.#checkAll(),
      CHECK_INTERVAL_MILLISECONDS,
    );
    this.#checkTimer.unref();
  }

  /**
   * Resolves with an open connection, or with undefined if there is none by
   * the deadline.
   */
  async connect(
    peer: PeerAddress,
    lane: RpcLane,
    deadline: Deadline,
  ): Promise<RpcConnection | undefined> {
    const key = `${peer.address}:${peer.port}/${lane}`;
    while (!this.#disposed && !this.#clock.isPast(deadline)) {
      const pending = this.#pooled.get(key) ?? this.#dial(key, peer);
      const connection = await this.#waitForConnection(pending, deadline);
      if (!connection) return undefined;
      if (!connection.isClosed && !connection.isSuspect) return connection;
      // A suspect connection keeps its pending calls but is given no new ones.
      if (this.#pooled.get(key) !== pending) continue;
      this.#pooled.delete(key);
      if (!connection.isClosed) this.#statistics.doubtfulConnectionsLeft += 1;
    }
    return undefined;
  }

  dispose(): void {
    this.#disposed = true;
    clearInterval(this.#checkTimer);
    for (const connection of this.#openConnections.keys()) connection.dispose();
  }

  /** Waits for a connection until the caller's deadline at the latest. */
  async #waitForConnection(
    pending: Promise<RpcConnection>,
    deadline: Deadline,
  ): Promise<RpcConnection | undefined> {
    const settled = new AbortController();
    const opened = pending.catch(() => undefined);
    void opened.then(() => settled.abort());
    await this.#clock.sleepUntil(deadline, settled.signal);
    return settled.signal.aborted ? await opened : undefined;
  }

  #dial(key: string, peer: PeerAddress): Promise<RpcConnection> {
    const pending = RpcConnection.open(peer, {
      clock: this.#clock,
      statistics: this.#statistics,
    });
    this.#pooled.set(key, pending);
    pending.then(
      (connection) => this.#add(key, connection),
      () => {
        if (this.#pooled.get(key) === pending) this.#pooled.delete(key);
      },
    );
    return pending;
  }

  #add(key: string, connection: RpcConnection): void {
    if (this.#disposed) connection.dispose();
    else this.#openConnections.set(connection, key);
  }

  #checkAll(): void {
    for (const [connection, key] of [...this.#openConnections]) {
      void this.#checkConnection(connection, key);
    }
  }

  async #checkConnection(
    connection: RpcConnection,
    key: string,
  ): Promise<void> {
    const count = connection.takeLateAnswers();
    if (count > 0) {
      this.#events.emit(answersLate, { peer: connection.peer.id, count });
    }
    const isUnused = connection.pendingCalls === 0;
    if (connection.isClosed || isUnused && this.#canClose(connection)) {
      await this.#remove(connection, key);
    } else if (connection.silenceMilliseconds > PROBE_AFTER_MILLISECONDS) {
      await this.#probe(connection, key);
    } else if (connection.silenceMilliseconds > PING_AFTER_MILLISECONDS) {
      this.#ping(connection);
    }
  }

  #canClose(connection: RpcConnection): boolean {
    return connection.isSuspect ||
      connection.idleMilliseconds > IDLE_TIMEOUT_MILLISECONDS;
  }

  async #remove(connection: RpcConnection, key: string): Promise<void> {
    const isAbandoned = !connection.isClosed && connection.isSuspect;
    this.#openConnections.delete(connection);
    this.#probes.delete(connection);
    connection.dispose();
    const pending = this.#pooled.get(key);
    const pooled = await pending?.catch(() => undefined);
    if (pooled === connection && this.#pooled.get(key) === pending) {
      this.#pooled.delete(key);
      if (isAbandoned) this.#statistics.doubtfulConnectionsLeft += 1;
    }
  }

  /** A ping distinguishes a slow handler from a broken connection. */
  #ping(connection: RpcConnection): void {
    if (this.#pinged.has(connection)) return;
    this.#pinged.add(connection);
    const deadline = this.#clock.deadlineIn(
      PROBE_AFTER_MILLISECONDS + PROBE_TIMEOUT_MILLISECONDS,
    );
    void connection.ping(this.#localId, deadline).then(() =>
      this.#pinged.delete(connection)
    );
  }

  async #probe(connection: RpcConnection, key: string): Promise<void> {
    const previous = this.#probes.get(connection);
    if (previous && !this.#clock.isPast(previous.notBefore)) return;
    const notBefore = this.#clock.deadlineIn(PROBE_INTERVAL_MILLISECONDS);
    this.#probes.set(connection, { notBefore });
    const replacement = await this.#openAndPing(connection.peer);
    if (connection.isClosed || this.#disposed) {
      replacement?.dispose();
      return;
    }
    if (replacement) await this.#replace(key, replacement, connection);
    const fields = {
      peer: connection.peer.id,
      address: `${connection.peer.address}:${connection.peer.port}`,
      pendingCalls: connection.pendingCalls,
    };
    if (!replacement) {
      if (!previous) this.#events.emit(peerSilent, fields);
      return;
    }
    this.#statistics.silentConnectionsClosed += 1;
    this.#events.emit(connectionSilent, fields);
    this.#openConnections.delete(connection);
    this.#probes.delete(connection);
    connection.dispose();
  }

  /** Replaces a silent connection by one on which the peer has responded. */
  async #replace(
    key: string,
    replacement: RpcConnection,
    silent: RpcConnection,
  ): Promise<void> {
    const pending = this.#pooled.get(key);
    const pooled = await pending?.catch(() => undefined);
    if (pooled !== undefined && pooled !== silent) return replacement.dispose();
    this.#pooled.set(key, Promise.resolve(replacement));
    this.#add(key, replacement);
  }

  /** Opens a connection and resolves with it if the peer responds to a ping. */
  async #openAndPing(peer: PeerAddress): Promise<RpcConnection | undefined> {
    const deadline = this.#clock.deadlineIn(PROBE_TIMEOUT_MILLISECONDS);
    const options = { clock: this.#clock, statistics: this.#statistics };
    const connection = await RpcConnection.open(peer, options).catch(() =>
      undefined
    );
    if (!connection) return undefined;
    if (await connection.ping(this.#localId, deadline)) return connection;
    connection.dispose();
    return undefined;
  }
}
