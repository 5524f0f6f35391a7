import type { IReplicatedLog } from "../consensus/mod.ts";
import { sendJson } from "../entry/respond.ts";
import type { IMembership, IServingPermission } from "../membership/mod.ts";
import type { Status } from "./messages.ts";
import type { IOperatorRoute } from "./types.ts";

/** Sources of the status. */
export interface IStatusSources {
  readonly membership: IMembership;
  readonly log: IReplicatedLog | undefined;
  readonly permission: IServingPermission;
  /** Whether the load balancer may send requests to this instance. */
  readonly isReady: () => boolean;
}

/** Routes for the load balancer's probes and `figroad status`. */
export function statusRoutes(sources: IStatusSources): IOperatorRoute[] {
  return [
    {
      method: "GET",
      path: /^\/health$/,
      handle: ({ response }) => {
        sendJson(response, 200, { status: "alive" });
        return Promise.resolve();
      },
    },
    {
      method: "GET",
      path: /^\/ready$/,
      handle: ({ response }) => {
        const ready = sources.isReady();
        const { reason } = sources.permission;
        sendJson(response, ready ? 200 : 503, { ready, reason });
        return Promise.resolve();
      },
    },
    {
      method: "GET",
      path: /^\/status$/,
      handle: ({ response }) => {
        const status: Status = {
          instance: sources.membership.self,
          connected: sources.membership.isConnected,
          log: sources.log?.status(),
          members: [...sources.membership.members],
        };
        sendJson(response, 200, status);
        return Promise.resolve();
      },
    },
  ];
}
