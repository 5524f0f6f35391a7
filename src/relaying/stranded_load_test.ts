import test from "ava";
import { FakeClock } from "../../testing/fake_clock.ts";
import { TestRandom } from "../../testing/test_random.ts";
import { SilentEventLog } from "../events/mod.ts";
import { LoadLedger } from "../placement/mod.ts";
import { RelayDirectory } from "./relay_directory.ts";

const RELAY_PORT = 7_720;

/** Requests of each instance without links. */
const REQUESTS = 40;

/** A fleet in which the first instances have lost their links. */
function strandedFleet(size: number, stranded: number) {
  const clock = new FakeClock();
  const ledger = new LoadLedger(clock);
  const names = Array.from({ length: size }, (_, index) => `10.0.0.${index}`);
  for (const [index, instance] of names.entries()) {
    ledger.recordReport({
      ...{ instance, name: instance, role: "entry" },
      ...{ sequence: 1, answered: 0, live: [], suspects: [] },
      ...{ routesVersion: 1, listRevision: "1", relayPort: RELAY_PORT },
      isCutOff: index < stranded || undefined,
    });
  }
  return { clock, ledger, names };
}

// Load: most entries have lost their links at once, and the others forward all
// of their requests besides serving their own callers.
test("load of most entries spreads evenly over the others", (t) => {
  const cases = [
    { size: 13, stranded: 8 },
    { size: 98, stranded: 60 },
    { size: 165, stranded: 132 },
  ];
  for (const { size, stranded } of cases) {
    for (let seed = 1; seed <= 10; seed++) {
      const random = new TestRandom(seed);
      const next = () => random.integer(0, 999_999) / 1_000_000;
      const { clock, ledger, names } = strandedFleet(size, stranded);
      const counts = new Map<string, number>();
      for (const asking of names.slice(0, stranded)) {
        const events = new SilentEventLog();
        const directory = new RelayDirectory(clock, { events, random: next });
        for (let request = 0; request < REQUESTS; request++) {
          // Each exchange with the leader names instances anew.
          directory.update(ledger.relays({ asking, random: next() }));
          const { address } = directory.choose()!;
          counts.set(address, (counts.get(address) ?? 0) + 1);
        }
      }
      const sound = names.slice(stranded);
      t.true([...counts.keys()].every((name) => sound.includes(name)));
      const fairShare = stranded * REQUESTS / sound.length;
      const most = Math.max(...counts.values());
      t.true(most <= 2 * fairShare, `${size} entries, seed ${seed}: ${most}`);
    }
  }
});

test("entry that loses its links is no longer named", (t) => {
  const { ledger } = strandedFleet(3, 2);
  const named = ledger.relays({ asking: "10.0.0.0", random: 0 });
  t.deepEqual(named, [{ address: "10.0.0.2", port: RELAY_PORT }]);
  t.deepEqual(ledger.relays({ asking: "10.0.0.2", random: 0 }), []);
});

test("entry that has not reported for a while is not named", (t) => {
  const { clock, ledger } = strandedFleet(3, 1);
  clock.advance(2_000);
  t.deepEqual(ledger.relays({ asking: "10.0.0.0", random: 0 }), []);
});
