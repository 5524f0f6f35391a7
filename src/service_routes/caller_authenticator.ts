import type { IEventLog } from "../events/mod.ts";
import { requestUnauthorized } from "./events.ts";
import type { KeyPermission } from "./key_permission.ts";
import type { RoutesHolder } from "./routes_holder.ts";
import type { CallerAccount } from "./types.ts";

/** Outcome of looking up the caller of a request. */
export type Authentication =
  | { readonly kind: "caller"; readonly caller: CallerAccount }
  /** No caller holds the key. */
  | { readonly kind: "unknown-key" }
  /** The key may have been withdrawn, or added, in the meantime. */
  | { readonly kind: "unconfirmed" };

/** Asks the leader to confirm the routes; resolves when it has or cannot. */
export interface IRoutesConfirmer {
  confirmRoutes(): Promise<void>;
}

/** Finds out which caller sent a request, by its key. */
export class CallerAuthenticator {
  #routes: RoutesHolder;
  #permission: KeyPermission;
  #confirmer: IRoutesConfirmer;
  #events: IEventLog;

  constructor(options: {
    routes: RoutesHolder;
    permission: KeyPermission;
    confirmer: IRoutesConfirmer;
    events: IEventLog;
  }) {
    this.#routes = options.routes;
    this.#permission = options.permission;
    this.#confirmer = options.confirmer;
    this.#events = options.events;
  }

  /** @param request identifier of the request, for the log. */
  async authenticate(
    key: string | undefined,
    request: string,
  ): Promise<Authentication> {
    let found = this.#find(key);
    if (found.kind === "unconfirmed") {
      // After a pause of this process, one exchange usually suffices.
      await this.#confirmer.confirmRoutes();
      found = this.#find(key);
    }
    if (found.kind !== "caller") {
      this.#events.emit(requestUnauthorized, {
        request,
        outcome: found.kind,
        hasKey: key !== undefined,
        version: this.#routes.version,
        ageMilliseconds: this.#permission.ageMilliseconds,
      });
    }
    return found;
  }

  /**
   * Resolves with whether the routes in force here are the newest; asks the
   * leader if that is not certain.
   */
  async checkRoutes(): Promise<boolean> {
    if (!this.#permission.isCurrent) await this.#confirmer.confirmRoutes();
    return this.#permission.isCurrent;
  }

  /**
   * Time since the leader confirmed the routes in force here as the newest, in
   * milliseconds; undefined if it never did.
   */
  get confirmedMilliseconds(): number | undefined {
    return this.#permission.ageMilliseconds;
  }

  #find(key: string | undefined): Authentication {
    const caller = key === undefined
      ? undefined
      : this.#routes.table?.callerByKey(key);
    if (caller) {
      return this.#permission.mayAccept
        ? { kind: "caller", caller }
        : { kind: "unconfirmed" };
    }
    const { isCurrent } = this.#permission;
    return { kind: isCurrent ? "unknown-key" : "unconfirmed" };
  }
}
