import { LatencyEstimates, RetryBudget } from "../src/admission/mod.ts";
import {
  type IEngineLoadView,
  LiveActivity,
  LocalLoadView,
} from "../src/allotment/mod.ts";
import { SystemClock } from "../src/common/mod.ts";
import {
  type AcceptedConfiguration,
  configurationSchema,
  ConfigurationView,
  type Engine,
  type IConfigurationSource,
} from "../src/configuration/mod.ts";
import { Dispatcher, type IDispatchRequest } from "../src/dispatch/mod.ts";
import { SilentEventLog } from "../src/events/mod.ts";
import { TraceRecorder } from "../src/explain/mod.ts";
import type { ITargetAvailability } from "../src/membership/mod.ts";
import {
  BalancedSelector,
  type ILoadReports,
  SeededRandom,
  TargetHealth,
} from "../src/routing/mod.ts";
import { HttpEngineAdapter, type IEngineAdapter } from "../src/targets/mod.ts";
import { engineInventory } from "./engine_inventory.ts";

/** Load reports of engines that never send any. */
export const noReports: ILoadReports = {
  reportOf: () => undefined,
  markInUse: () => {},
};

/** Availability with every target in the state `unknown`. */
export const alwaysAvailable: ITargetAvailability = {
  stateOf: () => "unknown",
  onChange: () => ({ dispose: () => {} }),
};

/** Builds a configuration with one service and an engine at each port. */
export function configurationOf(
  ports: readonly number[],
  changes: Partial<Engine> = {},
): IConfigurationSource {
  const { services, engines } = engineInventory(ports);
  const document = configurationSchema.parse({
    places: [{ region: "test", failureDomains: ["a"] }],
    services,
    engines: engines.map((engine) => ({ ...engine, ...changes })),
    callers: [],
    rules: [],
  });
  const accepted = { version: 1, document } as AcceptedConfiguration;
  const current = new ConfigurationView(accepted);
  const onChange = () => ({ dispose: () => {} });
  return { current, accepted, onChange, setIfNewer: () => {} };
}

/** A dispatcher with its collaborators. */
export class DispatcherFixture {
  readonly clock = new SystemClock();
  readonly activity = new LiveActivity();
  readonly budget = new RetryBudget();
  readonly random: SeededRandom;
  readonly health: TargetHealth;
  readonly selector: BalancedSelector;
  readonly dispatcher: Dispatcher;
  readonly #adapter = new HttpEngineAdapter(this.clock);

  constructor(
    configuration: IConfigurationSource,
    options: {
      seed: number;
      engines?: IEngineAdapter;
      availability?: ITargetAvailability;
      load?: (activity: LiveActivity) => IEngineLoadView;
    },
  ) {
    const { clock, activity, budget } = this;
    const events = new SilentEventLog();
    this.random = new SeededRandom(options.seed);
    this.health = new TargetHealth({ clock, random: this.random, events });
    this.selector = new BalancedSelector(configuration, {
      clock,
      random: this.random,
      failureDomain: "a",
      activity,
      load: options.load?.(activity) ?? new LocalLoadView(activity),
      reports: noReports,
      health: this.health,
      availability: options.availability ?? alwaysAvailable,
    });
    this.dispatcher = new Dispatcher({
      selector: this.selector,
      engines: options.engines ?? this.#adapter,
      clock,
      budgets: { live: budget, batch: budget },
      estimates: new LatencyEstimates(clock),
      trace: new TraceRecorder("test", clock),
      random: this.random,
    });
  }

  /** Builds a live request for a number of tokens. */
  request(
    prompt: string,
    tokens: number,
    change: Partial<IDispatchRequest> = {},
  ): IDispatchRequest {
    return {
      id: "request",
      caller: "station",
      service: "alerts",
      kind: "live",
      generation: {
        model: "alert-writer",
        endpoint: "/v1/completions",
        body: { model: "alert-writer", prompt, max_tokens: tokens },
      },
      idempotent: true,
      deadline: this.clock.deadlineIn(5_000),
      signal: new AbortController().signal,
      ...change,
    };
  }

  /** Closes the connections to engines. */
  dispose(): void {
    this.#adapter.dispose();
  }
}
