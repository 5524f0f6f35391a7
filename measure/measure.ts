// Runs one measurement: npm run measure -- TOPIC [options of the topic].
import process from "node:process";
import { defineCommand, runMain } from "citty";

/** A file of measurements; each topic is one beside this file. */
interface IMeasurement {
  /** Runs the measurement and prints its tables. */
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
  meta: { name: "measure", description: "Measures figroad on stand-ins" },
  args: {
    topic: {
      type: "positional",
      required: true,
      description: TOPICS.join(", "),
    },
  },
  async run({ args, rawArgs }) {
    if (!TOPICS.includes(args.topic)) {
      throw new Error(`no topic ${args.topic}; known: ${TOPICS.join(", ")}`);
    }
    const topic: IMeasurement = await import(`./${args.topic}.js`);
    await topic.measure(rawArgs.filter((word) => word !== args.topic));
    process.exit(0);
  },
});

await runMain(command);
