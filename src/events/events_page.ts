import type { ICatalogueEntry } from "./catalogue.ts";

const HEADING = `# Events

Every line that \`figroadd\` logs is one JSON object with the time (\`at\`), the
\`instance\`, the number of the \`event\`, its \`name\`, its \`level\` and the
fields listed here. Numbers are stable and never reused for another event.
\`figroad logs explain NUMBER\` prints the same text, and \`/metrics\` counts
events by number as \`figroad_events_total\`.

\`npm run events\` generates this page from the code; a test compares both.`;

/** Renders docs/EVENTS.md before the formatter wraps its lines. */
export function renderEventsPage(entries: readonly ICatalogueEntry[]): string {
  const sections: string[] = [HEADING];
  for (const slice of new Set(entries.map(({ slice }) => slice))) {
    sections.push(`## ${slice}`);
    const sliceEntries = entries.filter((entry) => entry.slice === slice);
    sections.push(...sliceEntries.flatMap(renderEvent));
  }
  return `${sections.join("\n\n")}\n`;
}

/** Whether two pages are equal apart from white space. */
export function isSamePage(first: string, second: string): boolean {
  const words = (page: string) => page.split(/\s+/).filter(Boolean).join(" ");
  return words(first) === words(second);
}

function renderEvent({ event }: ICatalogueEntry): string[] {
  const names = Object.keys(event.fields.shape);
  const fields = names.length === 0
    ? "none"
    : names.map((name) => `\`${name}\``).join(", ");
  return [
    `### ${event.number} ${event.name}`,
    `Level ${event.level}. Fields: ${fields}.`,
    event.help,
  ];
}
