// Runs a leader or members as a child process that receives commands over IPC.
import process from "node:process";
import {
  applyDocument,
  ControlLeader,
  ControlMember,
} from "../testing/control_fixtures.ts";

/** Commands of the measurement to a child process. */
export type ControlCommand =
  | { kind: "lead" }
  | { kind: "join"; port: number; first: number; count: number }
  | { kind: "apply"; version: number; document: object }
  | { kind: "count"; version: number };

/** Response of a child process; values are sums over its members. */
export interface ControlReport {
  port: number;
  bytes: number;
  calls: number;
  /** Number of members that have the requested version or a newer one. */
  inForce: number;
}

const members: ControlMember[] = [];
let port = 0;

function voter() {
  return { id: "voter-0", address: "127.0.0.1", port };
}

async function executeCommand(command: ControlCommand): Promise<void> {
  if (command.kind === "lead") {
    port = (await new ControlLeader().listen()).port;
  } else if (command.kind === "join") {
    port = command.port;
    for (let index = 0; index < command.count; index++) {
      const id = `member-${command.first + index}`;
      members.push(await ControlMember.start({ id, voters: () => [voter()] }));
    }
  } else if (command.kind === "apply") {
    const voters = () => [voter()];
    const operator = await ControlMember.start({ id: "operator", voters });
    const { version, document } = command;
    const changeId = `change-${version}`;
    await applyDocument(operator, { changeId, version, document });
    operator.store.dispose();
  }
}

function createReport(version: number): ControlReport {
  const statistics = members.map(({ rpc }) => rpc.statistics);
  return {
    port,
    bytes: statistics.reduce(
      (sum, { bytesSent, bytesReceived }) => sum + bytesSent + bytesReceived,
      0,
    ),
    calls: statistics.reduce((sum, { callsStarted }) => sum + callsStarted, 0),
    inForce:
      members.filter(({ holder }) => (holder.current?.version ?? 0) >= version)
        .length,
  };
}

process.on("message", (message) => {
  const command = message as ControlCommand;
  const version = command.kind === "count" ? command.version : 0;
  void executeCommand(command).then(() =>
    process.send?.(createReport(version))
  );
});
process.on("disconnect", () => process.exit(0));
