import { connect } from "node:net";
import type { Deadline, IClock } from "../common/mod.ts";

/**
 * Opens a TCP connection and closes it at once. Rejects if it has not opened
 * by the deadline or when the signal is aborted.
 */
export function openConnection(
  endpoint: { address: string; port: number },
  options: { clock: IClock; deadline: Deadline; signal: AbortSignal },
): Promise<void> {
  const { address, port } = endpoint;
  const { clock, deadline, signal } = options;
  return new Promise((resolve, reject) => {
    const socket = connect({ host: address, port });
    const end = (error?: Error) => {
      clearTimeout(timer);
      signal.removeEventListener("abort", cancel);
      socket.destroy();
      if (error) reject(error);
      else resolve();
    };
    const cancel = () => end(new Error("connection cancelled"));
    const timer = setTimeout(
      () => end(new Error(`no connection to ${address}:${port} in time`)),
      Math.ceil(clock.remaining(deadline)),
    );
    socket.on("error", end);
    socket.once("connect", () => end());
    if (signal.aborted) cancel();
    else signal.addEventListener("abort", cancel, { once: true });
  });
}
