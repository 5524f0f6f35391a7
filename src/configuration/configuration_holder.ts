import { Emitter, invariant } from "../common/mod.ts";
import type { IEventLog } from "../events/mod.ts";
import { ConfigurationView } from "./configuration_view.ts";
import { configurationInForce, configurationOlderIgnored } from "./events.ts";
import type { AcceptedConfiguration } from "./messages.ts";
import type { IConfigurationSource, IConfigurationView } from "./types.ts";

/** Holds the configuration in force; its version never decreases. */
export class ConfigurationHolder implements IConfigurationSource {
  #events: IEventLog;
  #current: ConfigurationView | undefined;
  #accepted: AcceptedConfiguration | undefined;
  #change = new Emitter<IConfigurationView>();
  readonly onChange = this.#change.event;

  constructor(events: IEventLog) {
    this.#events = events;
  }

  get current(): IConfigurationView | undefined {
    return this.#current;
  }

  get accepted(): AcceptedConfiguration | undefined {
    return this.#accepted;
  }

  setIfNewer(accepted: AcceptedConfiguration): void {
    const inForce = this.#current?.version ?? 0;
    if (accepted.version === inForce) return;
    if (accepted.version < inForce) {
      const offered = accepted.version;
      this.#events.emit(configurationOlderIgnored, { offered, inForce });
      return;
    }
    this.#current = new ConfigurationView(accepted);
    this.#accepted = accepted;
    invariant(
      this.#current.version > inForce,
      "configuration version decreased",
    );
    const { version, changeId } = accepted;
    this.#events.emit(configurationInForce, { version, changeId });
    this.#change.fire(this.#current);
  }
}
