import process from "node:process";
import {
  configurationSchema,
  ConfigurationView,
} from "../src/configuration/mod.ts";
import { referenceConfiguration } from "./reference_configuration.ts";
import { fitLine, median } from "./statistics.ts";

const SIZE_RATIOS = [0.25, 0.5, 1];
const RUNS = 9;

/** Configuration changes per day in the capacity requirements. */
const REFERENCE_CHANGES_PER_DAY = 1_800;
const SECONDS_PER_DAY = 86_400;

/** Measures the cost of one configuration change for an instance. */
export function measureConfiguration(): void {
  const points = SIZE_RATIOS.map((ratio) => ({
    ratio,
    ...measureAtRatio(ratio),
  }));
  console.log("configuration: cost of one change for an instance");
  console.table(points.map((point) => ({
    "ratio of the reference size": point.ratio,
    "document (KB)": (point.bytes / 1_024).toFixed(1),
    "parse and validate (ms)": point.checkMilliseconds.toFixed(2),
    "index (ms)": point.indexMilliseconds.toFixed(2),
    "heap (MB)": point.heapMegabytes.toFixed(2),
  })));
  const fullSize = points.at(-1);
  if (!fullSize) return;
  const perSecond = REFERENCE_CHANGES_PER_DAY / SECONDS_PER_DAY;
  const milliseconds = fullSize.checkMilliseconds + fullSize.indexMilliseconds;
  const line = fitLine(points.map(({ ratio, bytes }) => ({
    x: ratio,
    y: bytes / 1_024,
  })));
  console.log(
    `slope ${line.slope.toFixed(1)} KB per reference size, spread ${
      line.spread.toFixed(1)
    } KB`,
  );
  console.log(
    `${REFERENCE_CHANGES_PER_DAY} full documents per day: ${
      (fullSize.bytes / 1_024 * perSecond).toFixed(2)
    } KB/s and ${(milliseconds * perSecond / 10).toFixed(3)}% of a core`,
  );
}

function measureAtRatio(ratio: number) {
  const text = JSON.stringify(referenceConfiguration(ratio));
  const checks: number[] = [];
  const indexes: number[] = [];
  const views: ConfigurationView[] = [];
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  for (let run = 0; run < RUNS; run++) {
    const startedAt = performance.now();
    const document = configurationSchema.parse(JSON.parse(text));
    const checkedAt = performance.now();
    views.push(
      new ConfigurationView({
        version: 1,
        changeId: "measure",
        operator: "measure",
        acceptedAt: 0,
        document,
      }),
    );
    checks.push(checkedAt - startedAt);
    indexes.push(performance.now() - checkedAt);
  }
  globalThis.gc?.();
  const heap = process.memoryUsage().heapUsed - heapBefore;
  return {
    bytes: text.length,
    checkMilliseconds: median(checks),
    indexMilliseconds: median(indexes),
    heapMegabytes: heap / views.length / 1_048_576,
  };
}
