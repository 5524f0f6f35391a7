import type { IEngineLoad, IEngineLoadView, ILiveActivity } from "./types.ts";

/** Load of this instance's own streams, without other instances. */
export class LocalLoadView implements IEngineLoadView {
  #activity: ILiveActivity;

  constructor(activity: ILiveActivity) {
    this.#activity = activity;
  }

  loadOf(engineId: string): IEngineLoad {
    return {
      ownLive: this.#activity.liveStreams(engineId),
      otherLive: 0,
      batch: 0,
      receivedAt: undefined,
      reported: undefined,
    };
  }
}
