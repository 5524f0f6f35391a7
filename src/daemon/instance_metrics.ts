import type { IConfigurationSource } from "../configuration/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IMembership } from "../membership/mod.ts";
import type { IMetrics } from "../metrics/mod.ts";
import type { IRpcStatistics } from "../rpc/mod.ts";

/** Sources of the metrics of an instance. */
export interface IInstanceMetricSources {
  readonly membership: IMembership;
  readonly configuration: IConfigurationSource;
  readonly rpc: IRpcStatistics;
  /** Defined on control voters only. */
  readonly log: IReplicatedLog | undefined;
}

/** Defines metrics of this instance within the fleet. */
export function defineInstanceMetrics(
  metrics: IMetrics,
  sources: IInstanceMetricSources,
): void {
  const { membership, configuration, rpc, log } = sources;
  metrics.gauge(
    "figroad_connected",
    "1 while the log's leader answers this instance's heartbeats.",
    () => [{ value: membership.isConnected ? 1 : 0 }],
  );
  metrics.gauge(
    "figroad_configuration_version",
    "Configuration version in force on this instance.",
    () => [{ value: configuration.current?.version ?? 0 }],
  );
  metrics.gauge(
    "figroad_members",
    "Instances by health, as this instance knows them.",
    () => membersByHealth(membership),
  );
  metrics.gauge(
    "figroad_rpc",
    "Calls, connections and bytes to other instances since the start.",
    () =>
      Object.entries(rpc).map(([kind, value]) => ({ value, labels: { kind } })),
  );
  if (log) defineLogMetrics(metrics, log);
}

function defineLogMetrics(metrics: IMetrics, log: IReplicatedLog): void {
  metrics.gauge(
    "figroad_log_leader",
    "1 on the replica that leads the control log.",
    () => [{ value: log.leadership.isLeader ? 1 : 0 }],
  );
  metrics.gauge(
    "figroad_log_index",
    "Positions of this replica in the control log.",
    () => {
      const { lastIndex, commitIndex, appliedIndex } = log.status();
      return [
        { value: lastIndex, labels: { kind: "last" } },
        { value: commitIndex, labels: { kind: "committed" } },
        { value: appliedIndex, labels: { kind: "applied" } },
      ];
    },
  );
}

function membersByHealth({ members }: IMembership) {
  return (["live", "suspect", "lost"] as const).map((health) => ({
    value: members.filter((member) => member.health === health).length,
    labels: { health },
  }));
}
