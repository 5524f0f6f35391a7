import type { Deadline, IClock, IDisposable } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { connectionSilent, peerSilent } from "./events.ts";
import { RpcConnection } from "./rpc_connection.ts";
import type { IRpcStatistics, PeerAddress, RpcLane } from "./types.ts";

/** How often connections are reviewed, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 500;

/** Silence after which a connection is pinged, in milliseconds. */
const PING_AFTER_MILLISECONDS = 1_500;

/** Silence after which a new connection is tried, in milliseconds. */
const PROBE_AFTER_MILLISECONDS = 2_500;

/** Time that a probe over a new connection may take, in milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 1_000;

/** Pause between two probes because of one connection, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 2_000;

/** Time without calls after which a connection is closed, in milliseconds. */
const IDLE_TIMEOUT_MILLISECONDS = 30_000;

/** Collaborators of a pool. */
export interface IConnectionPoolOptions {
  readonly clock: IClock;
  readonly events: IEventLog;
  readonly statistics: IRpcStatistics;
}

interface IProbe {
  /** Earliest start of another probe. */
  readonly notBefore: Deadline;
}

/**
 * Connections to peers, one for each peer and lane.
 *
 * A connection that stays silent while calls wait is not proof that the peer
 * is down: something between the two may have lost track of it. It is
 * replaced only after a new connection to the same peer has been answered.
 */
export class ConnectionPool implements IDisposable {
  #localId: string;
  #clock: IClock;
  #events: IEventLog;
  #statistics: IRpcStatistics;
  #pooled = new Map<string, Promise<RpcConnection>>();
  /** All open connections, with the pool's key of each. */
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
   * Resolves with an open connection, or with undefined when there is none
   * by the deadline.
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
      // A doubtful connection keeps its waiting calls but gets no new ones.
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

  /** Waits for a connection, but not beyond the caller's deadline. */
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
    const isUnused = connection.pendingCalls === 0;
    if (connection.isClosed || isUnused && this.#isDisposable(connection)) {
      await this.#remove(connection, key);
    } else if (connection.silenceMilliseconds > PROBE_AFTER_MILLISECONDS) {
      await this.#probe(connection, key);
    } else if (connection.silenceMilliseconds > PING_AFTER_MILLISECONDS) {
      this.#ping(connection);
    }
  }

  #isDisposable(connection: RpcConnection): boolean {
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

  /** A slow handler answers late; a ping tells it from a dead connection. */
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

  /** Puts an answered connection in the place of a silent one. */
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

  /** Opens a connection and resolves with it if the peer answers on it. */
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
