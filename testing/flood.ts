import { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** Bytes that are written at once. */
const PIECE_BYTES = 64 * 1024;

/** Writes bytes for ever, as fast as the other side reads. */
export function flood(socket: Socket, next: () => string): void {
  const write = () => {
    while (!socket.destroyed) {
      let piece = "";
      while (piece.length < PIECE_BYTES) piece += next();
      if (!socket.write(Buffer.from(piece))) break;
    }
  };
  socket.on("drain", write);
  write();
}

/** Numbered events without end. */
export function numberedEvents(dataCharacters: number): () => string {
  const data = "x".repeat(dataCharacters);
  let id = 0;
  return () => {
    id += 1;
    return `id: ${id}\ndata: ${data}\n\n`;
  };
}
