import { randomUUID } from "node:crypto";
import { ok } from "neverthrow";
import type { z } from "zod";
import {
  type Deadline,
  DisposableStore,
  type IClock,
  type IDisposable,
} from "../common/mod.ts";
import type { Configuration } from "../configuration/mod.ts";
import type { IReplicatedLog } from "../consensus/mod.ts";
import type { IRpcServer, PeerAddress } from "../rpc/mod.ts";
import { claimEnginesMethod } from "./messages.ts";

/** Time without a claim after which an owner loses its engines. */
export const OWNERSHIP_LEASE_MILLISECONDS = 3_000;

type Claim = z.infer<typeof claimEnginesMethod["params"]>;

interface IOwnerState {
  address: PeerAddress;
  region: string;
  lastClaimAt: Deadline;
  engines: Set<string>;
  /** Engines to be given up; kept until the owner's claims omit them. */
  revoked: Set<string>;
}

/**
 * Assigns each engine's batch streams to one instance, on the log's leader.
 *
 * The assignment is not replicated in the log: if an engine has two owners for
 * a short time, batch only exceeds its limit. A new leader collects the owners'
 * claims for one lease before it assigns engines that nobody has claimed.
 */
export class EngineAssigner implements IDisposable {
  #clock: IClock;
  #document: () => Configuration | undefined;
  #owners = new Map<string, IOwnerState>();
  #revision: string = randomUUID();
  #leadsSince: Deadline;
  #store = new DisposableStore();

  constructor(log: IReplicatedLog, server: IRpcServer, options: {
    clock: IClock;
    document: () => Configuration | undefined;
  }) {
    this.#clock = options.clock;
    this.#document = options.document;
    this.#leadsSince = options.clock.monotonic();
    this.#store.add(log.onLeadershipChange(() => {
      this.#owners.clear();
      this.#leadsSince = this.#clock.monotonic();
      this.#revision = randomUUID();
    }));
    this.#store.add(
      server.handle(claimEnginesMethod, async (claim, context) => {
        const barrier = await log.barrier(context);
        return barrier.andThen(() => ok(this.claim(claim)));
      }),
    );
  }

  /** Answers a claim with the engines that the instance now owns. */
  claim(claim: Claim): z.infer<typeof claimEnginesMethod["result"]> {
    this.#removeExpiredOwners();
    const owner = this.#renewOwner(claim);
    this.#reconcile(owner, claim);
    if (claim.accepting) this.#balance(owner);
    else this.#remove(claim.address.id);
    const owned = [...owner.engines].filter((id) => !owner.revoked.has(id));
    const revision = this.#revision;
    if (revision === claim.revision) return { owned, revision };
    return { owned, revision, owners: this.#listOwners() };
  }

  dispose(): void {
    this.#store.dispose();
  }

  #removeExpiredOwners(): void {
    const now = this.#clock.monotonic();
    for (const [id, { lastClaimAt }] of this.#owners) {
      if (now - lastClaimAt > OWNERSHIP_LEASE_MILLISECONDS) this.#remove(id);
    }
  }

  #remove(id: string): void {
    this.#owners.delete(id);
    this.#revision = randomUUID();
  }

  #renewOwner(claim: Claim): IOwnerState {
    const { address, region } = claim;
    const lastClaimAt = this.#clock.monotonic();
    const known = this.#owners.get(address.id);
    const owner: IOwnerState = known ??
      {
        address,
        region,
        lastClaimAt,
        engines: new Set(),
        revoked: new Set(),
      };
    owner.address = address;
    owner.lastClaimAt = lastClaimAt;
    this.#owners.set(address.id, owner);
    return owner;
  }

  /** Accepts claims for unowned engines and removes engines given up. */
  #reconcile(owner: IOwnerState, claim: Claim): void {
    const claims = new Set(claim.claims);
    for (const id of owner.revoked) {
      if (claims.has(id)) continue;
      owner.revoked.delete(id);
      owner.engines.delete(id);
      this.#revision = randomUUID();
    }
    const engines = this.#engineIds(owner.region);
    for (const id of owner.engines) {
      if (!engines.includes(id)) owner.engines.delete(id);
    }
    for (const id of claims) {
      if (engines.includes(id) && !this.#ownerOf(id)) this.#assign(owner, id);
    }
  }

  #balance(owner: IOwnerState): void {
    const engines = this.#engineIds(owner.region);
    const instances = [...this.#owners.values()]
      .filter(({ region }) => region === owner.region).length;
    const share = Math.ceil(engines.length / instances);
    const surplus = owner.engines.size - owner.revoked.size - share;
    const kept = [...owner.engines].filter((id) => !owner.revoked.has(id));
    kept.slice(0, Math.max(0, surplus)).forEach((id) => owner.revoked.add(id));
    const waited = this.#clock.monotonic() - this.#leadsSince;
    if (waited < OWNERSHIP_LEASE_MILLISECONDS) return;
    for (const id of engines) {
      if (owner.engines.size >= share) return;
      if (!this.#ownerOf(id)) this.#assign(owner, id);
    }
  }

  #assign(owner: IOwnerState, engineId: string): void {
    owner.engines.add(engineId);
    this.#revision = randomUUID();
  }

  #ownerOf(engineId: string): IOwnerState | undefined {
    return [...this.#owners.values()]
      .find(({ engines }) => engines.has(engineId));
  }

  /** Engines of a region; only instances of the region own them. */
  #engineIds(region: string): string[] {
    const document = this.#document();
    const domains = document?.places
      .filter((place) => place.region === region)
      .flatMap(({ failureDomains }) => failureDomains) ?? [];
    return document?.engines
      .filter(({ failureDomain }) => domains.includes(failureDomain))
      .map(({ id }) => id) ?? [];
  }

  #listOwners() {
    return [...this.#owners.values()].map(({ address, engines }) => ({
      address,
      engines: [...engines],
    }));
  }
}
