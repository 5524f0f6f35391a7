import { EngineStandin } from "../testing/engine_standin.ts";
import { Fleet } from "../testing/fleet.ts";
import { PlainStandin } from "../testing/plain_standin.ts";
import { Relay } from "../testing/relay.ts";

/** Duration of a decoding step of the stand-in engines, in milliseconds. */
const STEP_MILLISECONDS = 4;

/** A stand-in engine that is reached through a relay. */
export interface ISoakEngine {
  readonly id: string;
  readonly standin: EngineStandin;
  readonly relay: Relay;
}

/** Fleet of daemon processes; engines and relays run in this process. */
export class SoakFleet {
  readonly fleet: Fleet;
  readonly engines: readonly ISoakEngine[];
  readonly plain: PlainStandin;
  /** Relays in front of the voters' ports, by instance. */
  readonly voterRelays: ReadonlyMap<string, Relay>;

  private constructor(options: {
    fleet: Fleet;
    engines: ISoakEngine[];
    plain: PlainStandin;
  }) {
    this.fleet = options.fleet;
    this.engines = options.engines;
    this.plain = options.plain;
    this.voterRelays = options.fleet.voterRelays;
  }

  static async start(options: {
    instances: number;
    voters: number;
    engines: number;
  }): Promise<SoakFleet> {
    const engines: ISoakEngine[] = [];
    const ports: number[] = [];
    for (let index = 0; index < options.engines; index++) {
      const standin = new EngineStandin({
        stepMilliseconds: STEP_MILLISECONDS,
        maximumStreams: 16,
      });
      const relay = new Relay(await standin.listen());
      ports.push(await relay.listen());
      engines.push({ id: `engine-${index}`, standin, relay });
    }
    const plain = new PlainStandin();
    const plainPort = await plain.listen();
    const fleet = await Fleet.start({
      instances: options.instances,
      voters: options.voters,
      engines: 0,
      enginePorts: ports,
      voterRelays: true,
      configure: (document) => addPlainService(document, plainPort),
    });
    return new SoakFleet({ fleet, engines, plain });
  }

  /** Stops every process and closes every relay. */
  async stop(options: { keepFiles: boolean }): Promise<void> {
    await this.fleet.stop(options);
    for (const { standin, relay } of this.engines) {
      relay.dispose();
      standin.destroy();
    }
    this.plain.dispose();
  }
}

// deno-lint-ignore no-explicit-any
function addPlainService(document: any, port: number): void {
  document.plainServices = [{
    name: "notices",
    targets: [{
      id: "notices-0",
      address: "127.0.0.1",
      port,
      failureDomain: "domain-0",
    }],
    idempotent: false,
  }];
  document.rules[0].services.push("notices");
}
