// Runs a measurement: npm run measure -- TOPIC [options of the topic]
import process from "node:process";
import { defineCommand, runMain } from "citty";

/** Module of a topic, in the file of that name in this folder. */
interface IMeasurement {
  /** Runs the measurements and prints the results. */
  measure(options: readonly string[]): Promise<void>;
}

const TOPICS = [
  "serving",
  "consensus",
  "control",
  "live",
  "logs",
  "capacity",
];

const command = defineCommand({
  meta: {
    name: "measure",
    description: "Measures figroad with stand-in engines",
  },
  args: {
    topic: {
      type: "positional",
      required: true,
      description: TOPICS.join(", "),
    },
  },
  async run({ args, rawArgs }) {
    if (!TOPICS.includes(args.topic)) {
      throw new Error(
        `unknown topic ${args.topic}; topics: ${TOPICS.join(", ")}`,
      );
    }
    const topic: IMeasurement = await import(`./${args.topic}.js`);
    await topic.measure(rawArgs.filter((word) => word !== args.topic));
    process.exit(0);
  },
});

await runMain(command);
