import type { z } from "zod";

/** Addresses that a listener can bind to but that no client can connect to. */
const WILDCARD_ADDRESSES = ["0.0.0.0", "::"];

/** Address and port of a listener or a voter. */
interface IEndpoint {
  readonly address: string;
  readonly port: number;
}

/** The settings that are checked against each other. */
export interface ICheckedSettings {
  readonly instance: { readonly id: string; readonly failureDomain: string };
  readonly callers: IEndpoint;
  readonly peers: IEndpoint;
  readonly operators: IEndpoint;
  readonly voters: readonly (IEndpoint & {
    readonly id: string;
    readonly failureDomain: string;
  })[];
  readonly control?: { readonly start: "bootstrap" | "join" };
}

/** Reports an invalid value at a path and describes the allowed values. */
type Report = (path: (string | number)[], allowed: string) => void;

/**
 * Reports settings that are valid individually but not in combination. Checks
 * nothing while single fields are invalid, as they may cause further errors.
 */
export function checkSettings(
  settings: ICheckedSettings,
  context: z.core.$RefinementCtx,
): void {
  if (context.issues.length > 0) return;
  const report: Report = (path, message) =>
    context.addIssue({ code: "custom", path, message });
  checkListeners(settings, report);
  checkAddresses(settings, report);
  checkVoters(settings, report);
  checkControl(settings, report);
}

/** Listeners with port 0 never conflict: the system chooses a free port. */
function checkListeners(settings: ICheckedSettings, report: Report): void {
  const names = ["callers", "peers", "operators"] as const;
  names.forEach((name, index) => {
    const listener = settings[name];
    const other = names.slice(0, index).find((earlier) =>
      listener.port !== 0 && overlaps(listener, settings[earlier])
    );
    if (other) report([name, "port"], `a port that ${other} does not use`);
  });
}

function overlaps(first: IEndpoint, second: IEndpoint): boolean {
  if (first.port !== second.port) return false;
  return first.address === second.address ||
    WILDCARD_ADDRESSES.includes(first.address) ||
    WILDCARD_ADDRESSES.includes(second.address);
}

function checkAddresses(settings: ICheckedSettings, report: Report): void {
  const { peers, voters } = settings;
  const allowed = "an IP address that other instances can connect to";
  if (WILDCARD_ADDRESSES.includes(peers.address)) {
    report(["peers", "address"], allowed);
  }
  voters.forEach(({ address }, index) => {
    if (WILDCARD_ADDRESSES.includes(address)) {
      report(["voters", index, "address"], allowed);
    } else if (isLoopback(address) !== isLoopback(peers.address)) {
      report(
        ["voters", index, "address"],
        "loopback addresses for peers and all voters, or for none",
      );
    }
  });
}

function isLoopback(address: string): boolean {
  return address.startsWith("127.") || address === "::1";
}

function checkVoters({ voters }: ICheckedSettings, report: Report): void {
  voters.forEach((voter, index) => {
    const earlier = voters.slice(0, index);
    if (earlier.some(({ id }) => id === voter.id)) {
      report(["voters", index, "id"], "an id that is given once");
    }
    const isTaken = earlier.some(({ address, port }) =>
      port !== 0 && address === voter.address && port === voter.port
    );
    if (isTaken) {
      report(
        ["voters", index, "port"],
        "a port that no other voter at this address uses",
      );
    }
  });
}

function checkControl(settings: ICheckedSettings, report: Report): void {
  const { instance, voters, control } = settings;
  const index = voters.findIndex(({ id }) => id === instance.id);
  const ownVoter = voters[index];
  if (ownVoter && !control) {
    report(["control"], `dataFolder, as voters lists ${instance.id}`);
  }
  if (ownVoter && ownVoter.failureDomain !== instance.failureDomain) {
    report(
      ["voters", index, "failureDomain"],
      "the failure domain of this instance",
    );
  }
  if (!ownVoter && control?.start === "bootstrap") {
    report(
      ["control", "start"],
      `"join", as voters does not list ${instance.id}`,
    );
  }
}
