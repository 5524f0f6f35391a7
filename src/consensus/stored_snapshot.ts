import type { Buffer } from "node:buffer";
import { z } from "zod";
import {
  type IJsonRange,
  isJsonArray,
  jsonElements,
  jsonMembers,
  parseJson,
} from "../common/mod.ts";
import { verifyChecksummed } from "./checksummed_document.ts";
import { CorruptionError } from "./corruption_error.ts";
import { type ReplicaSet, replicaSetSchema } from "./replica_set.ts";
import {
  type IStateSection,
  type SectionFile,
  sectionFileSchema,
} from "./types.ts";

const positionSchema = z.object({
  index: z.number(),
  term: z.number(),
  proposedAt: z.number(),
  replicas: replicaSetSchema,
});

interface IStoredSection {
  readonly state: IJsonRange;
  readonly files: SectionFile[];
}

/**
 * A snapshot as it was read from disk. The states of the sections are decoded
 * when they are restored, and long arrays one element at a time, since a
 * snapshot may be larger than the heap.
 */
export class StoredSnapshot {
  readonly index: number;
  readonly term: number;
  readonly proposedAt: number;
  readonly replicas: ReplicaSet;
  #bytes: Buffer;
  #sections = new Map<string, IStoredSection>();

  /** @throws CorruptionError when the document is damaged. */
  constructor(name: string, document: Buffer) {
    const bytes = verifyChecksummed(name, document);
    const members = jsonMembers(bytes);
    const decode = (member: string, from = members) => {
      const range = from.get(member);
      return range && parseJson(bytes, range);
    };
    const position = positionSchema.safeParse({
      index: decode("index"),
      term: decode("term"),
      proposedAt: decode("proposedAt"),
      replicas: decode("replicas"),
    });
    const sections = members.get("sections");
    if (!position.success || !sections) {
      const reason = position.error?.message ?? "no sections";
      throw new CorruptionError(`${name}: ${reason}`);
    }
    const { index, term, proposedAt, replicas } = position.data;
    this.index = index;
    this.term = term;
    this.proposedAt = proposedAt;
    this.replicas = replicas;
    this.#bytes = bytes;
    for (const [section, { start }] of jsonMembers(bytes, sections.start)) {
      const parts = jsonMembers(bytes, start);
      const files = z.array(sectionFileSchema).safeParse(
        decode("files", parts),
      );
      const state = parts.get("state");
      if (!files.success || !state) {
        const reason = files.error?.message ?? "no state";
        throw new CorruptionError(`${name}: ${section}: ${reason}`);
      }
      this.#sections.set(section, { state, files: files.data });
    }
  }

  /** Files of each section. */
  get files(): ReadonlyMap<string, readonly SectionFile[]> {
    return new Map(
      [...this.#sections].map(([section, { files }]) => [section, files]),
    );
  }

  /** Restores a section, or resets it if the snapshot does not contain it. */
  async restore(section: IStateSection): Promise<void> {
    const stored = this.#sections.get(section.definition.name);
    if (!stored) return await section.reset();
    const { state, files } = stored;
    if (section.restoreElements && isJsonArray(this.#bytes, state)) {
      return await section.restoreElements(this.#elements(state), files);
    }
    await section.restore({ state: parseJson(this.#bytes, state), files });
  }

  *#elements({ start }: IJsonRange): Generator<unknown> {
    for (const range of jsonElements(this.#bytes, start)) {
      yield parseJson(this.#bytes, range);
    }
  }
}
