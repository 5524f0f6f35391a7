import test from "ava";
import { configurationSchema } from "../configuration/mod.ts";
import { formatDocumentError, parseDocument } from "./load_document.ts";
import { settingsSchema } from "./schema.ts";

const VALID_SETTINGS = {
  instance: { id: "one", region: "west", failureDomain: "west-1" },
  callers: { address: "127.0.0.1", port: 8001 },
  peers: { address: "127.0.0.1", port: 8002 },
  operators: { address: "127.0.0.1", port: 8003 },
  voters: [
    { id: "one", address: "127.0.0.1", port: 8002, failureDomain: "west-1" },
    { id: "two", address: "127.0.0.1", port: 8012, failureDomain: "west-2" },
  ],
  control: { dataFolder: "/data" },
};

/** Returns the errors of the valid settings after a change. */
// deno-lint-ignore no-explicit-any
function errorsAfter(change: (settings: any) => void): string[] {
  const settings = structuredClone(VALID_SETTINGS);
  change(settings);
  const text = JSON.stringify(settings, undefined, 1);
  return errorsOf(text, settingsSchema);
}

function errorsOf(
  text: string,
  schema: typeof settingsSchema | typeof configurationSchema,
): string[] {
  return parseDocument<typeof schema>(text, schema, { file: "f" }).match(
    () => [],
    (errors) => errors.map(formatDocumentError),
  );
}

test("valid settings are accepted", (t) => {
  t.deepEqual(errorsAfter(() => {}), []);
  t.deepEqual(errorsAfter((settings) => settings.callers.port = 0), []);
});

test("comments and trailing commas are accepted", (t) => {
  const text = `// settings\n${
    JSON.stringify(VALID_SETTINGS).slice(0, -1)
  }, /* end */}`;
  t.deepEqual(errorsOf(text, settingsSchema), []);
});

test("syntax errors are reported with their line", (t) => {
  t.regex(
    errorsOf('{\n "instance": {\n "id" "one" }\n}', settingsSchema)[0] ?? "",
    /^f:3: \(syntax\): found .*; allowed: JSON with comments/,
  );
  t.regex(errorsOf("", settingsSchema)[0] ?? "", /^f:1: \(syntax\)/);
});

test("errors name the line, the field, its value and what is allowed", (t) => {
  t.deepEqual(errorsAfter((settings) => settings.callers.port = 99_999), [
    "f:9: callers.port: found 99999; " +
    "allowed: an integer from 0 to 65535",
  ]);
  t.deepEqual(errorsAfter((settings) => settings.callers.port = "80"), [
    'f:9: callers.port: found "80"; ' +
    "allowed: an integer from 0 to 65535",
  ]);
  t.deepEqual(errorsAfter((settings) => settings.peers.address = "a.example"), [
    'f:12: peers.address: found "a.example"; ' +
    "allowed: an IP address such as 127.0.0.1",
  ]);
  t.deepEqual(errorsAfter((settings) => settings.instance.id = "One"), [
    'f:3: instance.id: found "One"; allowed: a name of 1 to 63 lower-case ' +
    "letters, digits, '.', '_' or '-'",
  ]);
  t.deepEqual(errorsAfter((settings) => delete settings.operators), [
    "f:1: operators: found nothing; allowed: an object with address, port",
  ]);
  t.deepEqual(errorsAfter((settings) => settings.control.start = "now"), [
    'f:35: control.start: found "now"; allowed: one of "bootstrap", "join"',
  ]);
  t.deepEqual(errorsAfter((settings) => settings.voters = []), [
    "f:19: voters: found []; allowed: a list of 1 to 7 entries",
  ]);
});

test("unknown field is reported with the known fields", (t) => {
  t.deepEqual(errorsAfter((settings) => settings.callers.prot = 1), [
    "f:10: callers.prot: found 1; " +
    "allowed: no such field; known fields: address, port",
  ]);
});

test("every unknown field is reported", (t) => {
  const errors = errorsAfter((settings) =>
    Object.assign(settings.callers, { one: 1, two: 2 })
  );
  t.is(errors.length, 2);
});

test("field given twice is reported with its line", (t) => {
  const text = `{\n "places": [{ "region": "a",\n "region": "b" }]\n}`;
  t.deepEqual(errorsOf(text, configurationSchema), [
    'f:2: places[0].region: found "a"; allowed: a field that is given once',
  ]);
});

test("inconsistent fields are reported", (t) => {
  const allowed = (change: Parameters<typeof errorsAfter>[0]) =>
    errorsAfter(change).map((error) => error.replace(/^f:\d+: /, ""));
  t.deepEqual(allowed((settings) => settings.operators.port = 8002), [
    "operators.port: found 8002; allowed: a port that peers does not use",
  ]);
  t.deepEqual(allowed((settings) => settings.peers.address = "0.0.0.0"), [
    'peers.address: found "0.0.0.0"; ' +
    "allowed: an IP address that other instances can connect to",
    ...[0, 1].map((index) =>
      `voters[${index}].address: found "127.0.0.1"; ` +
      "allowed: loopback addresses for peers and all voters, or for none"
    ),
  ]);
  t.deepEqual(allowed((settings) => settings.voters[1].address = "10.0.0.2"), [
    'voters[1].address: found "10.0.0.2"; ' +
    "allowed: loopback addresses for peers and all voters, or for none",
  ]);
  t.deepEqual(allowed((settings) => settings.voters[1].id = "one"), [
    'voters[1].id: found "one"; allowed: an id that is given once',
  ]);
  t.deepEqual(allowed((settings) => settings.voters[1].port = 8002), [
    "voters[1].port: found 8002; allowed: a port that no other voter at this address uses",
  ]);
  t.deepEqual(allowed((settings) => delete settings.control), [
    "control: found nothing; allowed: dataFolder, as voters lists one",
  ]);
  t.deepEqual(allowed((settings) => settings.instance.id = "three"), [
    'control.start: found nothing; allowed: "join", ' +
    "as voters does not list three",
  ]);
  t.deepEqual(
    allowed((settings) => settings.voters[0].failureDomain = "west-3"),
    [
      'voters[0].failureDomain: found "west-3"; ' +
      "allowed: the failure domain of this instance",
    ],
  );
});

test("invalid values in a configuration are reported", (t) => {
  const text = `{
  "places": [{ "region": "west", "failureDomains": ["west-1"] }],
  "services": [{ "name": "alerts", "model": "m",
    "objective": { "share": 95 } }],
  "engines": [{ "id": "e", "service": "alerts", "address": "127.0.0.1",
    "port": 1, "failureDomain": "west-1",
    "maximumStreams": 0 }],
  "callers": [],
  "rules": []
}`;
  t.deepEqual(errorsOf(text, configurationSchema), [
    "f:4: services[0].objective.share: found 95; " +
    "allowed: a number above 0 and below 1",
    "f:7: engines[0].maximumStreams: found 0; " +
    "allowed: an integer above 0",
  ]);
});

test("undefined references in a configuration are reported", (t) => {
  const text = `{
  "places": [{ "region": "west", "failureDomains": ["west-1"] }],
  "services": [{ "name": "alerts", "model": "m" }],
  "engines": [{ "id": "e", "service": "alert", "address": "127.0.0.1",
    "port": 1,
    "failureDomain": "west-2" }],
  "callers": [],
  "rules": [{ "callers": ["nobody"],
    "services": ["alerts"] }]
}`;
  t.deepEqual(errorsOf(text, configurationSchema), [
    'f:6: engines[0].failureDomain: found "west-2"; ' +
    "allowed: a domain under places",
    'f:4: engines[0].service: found "alert"; ' +
    "allowed: a name under services",
    'f:8: rules[0].callers[0]: found "nobody"; ' +
    "allowed: a name under callers",
  ]);
});
