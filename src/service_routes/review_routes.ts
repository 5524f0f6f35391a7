import type { CallerAccount, Route, RouteSet } from "./types.ts";

/** Something in a valid configuration that is probably not meant. */
export interface IRouteFinding {
  /**
   * - `unreachable`: the entry can never have an effect.
   * - `contradiction`: two values cannot both take effect.
   */
  readonly kind: "unreachable" | "contradiction";
  /** The entry, such as `route alerts` or `caller dispatch`. */
  readonly entry: string;
  readonly message: string;
}

/** Longest header section that the listener accepts, in bytes. */
const MAXIMUM_HEADER_BYTES = 32 * 1024;

/** Finds entries without an effect and limits that contradict each other. */
export function reviewRoutes(routes: RouteSet): IRouteFinding[] {
  const { callers = [] } = routes;
  return [
    ...routes.routes.flatMap((route) => reviewRoute(route, callers)),
    ...findUnusedServices(routes),
    ...callers.flatMap(reviewCaller),
    ...reviewLimits(routes),
  ];
}

function reviewRoute(
  route: Route,
  callers: readonly CallerAccount[],
): IRouteFinding[] {
  const entry = `route ${route.name}`;
  const unreachable = (message: string) => ({
    ...{ kind: "unreachable" as const, entry, message },
  });
  const contradiction = (message: string) => ({
    ...{ kind: "contradiction" as const, entry, message },
  });
  const findings: IRouteFinding[] = [];
  if (/[:/\s]/.test(route.host)) {
    findings.push(unreachable(
      `no request has the host "${route.host}": ports are ignored, and a ` +
        "host contains no slash or space",
    ));
  }
  if (/[?#\s]/.test(route.pathPrefix)) {
    findings.push(unreachable(
      `no request has a path that begins with "${route.pathPrefix}"`,
    ));
  }
  for (const { service, weight } of route.shares) {
    if (weight > 0) continue;
    findings.push(unreachable(`service ${service} has the weight 0`));
  }
  if (route.isPublic && callers.length === 0) {
    findings.push(unreachable(
      "it is public, but no route needs a key without callers",
    ));
  }
  if (route.objectiveMilliseconds > route.timeoutMilliseconds) {
    findings.push(contradiction(
      `the timeout of ${route.timeoutMilliseconds} ms ends requests before ` +
        `the objective of ${route.objectiveMilliseconds} ms`,
    ));
  }
  const { resultMilliseconds, retentionMilliseconds } = route;
  const isDropped = resultMilliseconds !== undefined &&
    retentionMilliseconds !== undefined &&
    retentionMilliseconds < resultMilliseconds;
  if (isDropped) {
    findings.push(contradiction(
      `items are given up after ${retentionMilliseconds} ms, before their ` +
        `results are due after ${resultMilliseconds} ms`,
    ));
  }
  const isRepeatable = route.kind === "safe" || route.kind === "bulk" ||
    route.isResumable;
  if (route.kind === "unsafe" && route.isResumable) {
    findings.push(unreachable("only streams are resumed"));
  }
  if (route.waitingTokensLimit !== undefined && route.kind !== "bulk") {
    findings.push(unreachable(
      "the limit of waiting tokens applies to jobs only",
    ));
  }
  if (route.isResumable && isRepeatable && route.attempts < 2) {
    findings.push(contradiction(
      "streams may be resumed, but one attempt leaves no other engine",
    ));
  }
  return findings;
}

function findUnusedServices({ routes, services }: RouteSet): IRouteFinding[] {
  const used = new Set(
    routes.flatMap(({ shares }) => shares.map(({ service }) => service)),
  );
  return services
    .filter(({ name }) => !used.has(name))
    .map(({ name }) => ({
      kind: "unreachable",
      entry: `service ${name}`,
      message: "no route uses it",
    }));
}

function reviewCaller(caller: CallerAccount): IRouteFinding[] {
  const entry = `caller ${caller.name}`;
  const findings: IRouteFinding[] = [];
  if (caller.keyHashes.length === 0) {
    findings.push({
      kind: "unreachable",
      entry,
      message: "it has no key, so no request is its own",
    });
  }
  const { limit } = caller;
  if (limit && limit.burst > 0 && limit.burst < 1) {
    findings.push({
      kind: "contradiction",
      entry,
      message: `a burst of ${limit.burst} admits no whole request`,
    });
  }
  return findings;
}

function reviewLimits({ limits }: RouteSet): IRouteFinding[] {
  const findings: IRouteFinding[] = [];
  const entry = "limits";
  if (limits.headerBytes > MAXIMUM_HEADER_BYTES) {
    findings.push({
      kind: "contradiction",
      entry,
      message: `headers of ${limits.headerBytes} bytes are allowed, and the ` +
        `listener accepts ${MAXIMUM_HEADER_BYTES}`,
    });
  }
  if (limits.headerTimeoutMilliseconds > limits.idleTimeoutMilliseconds) {
    findings.push({
      kind: "contradiction",
      entry,
      message: `connections close after ${limits.idleTimeoutMilliseconds} ms ` +
        "without a request, before the " +
        `${limits.headerTimeoutMilliseconds} ms for its headers have passed`,
    });
  }
  return findings;
}
