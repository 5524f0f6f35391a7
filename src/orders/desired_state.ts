import type { Engine } from "../configuration/mod.ts";
import type { EngineOrder, EngineState } from "../targets/mod.ts";

/**
 * Computes the orders that bring an engine from its current state to the
 * state that the inventory specifies.
 *
 * Loads come before unloads, so that the service always has a model loaded.
 * Adapters that the inventory does not list stay loaded, because engines have
 * no order to remove them.
 */
export function computeOrders(
  engine: Engine,
  state: EngineState,
): EngineOrder[] {
  const { serves } = engine;
  if (!serves) return [];
  const orders: EngineOrder[] = [];
  if (state.role !== serves.role) {
    orders.push({ kind: "set-role", role: serves.role });
  }
  for (const model of serves.models) {
    if (!state.models.includes(model)) {
      orders.push({ kind: "load-model", model });
    }
  }
  for (const wanted of serves.adapters) {
    const isLoaded = state.adapters.some((loaded) =>
      loaded.model === wanted.model && loaded.adapter === wanted.adapter &&
      loaded.version === wanted.version
    );
    if (!isLoaded) orders.push({ kind: "load-adapter", ...wanted });
  }
  for (const model of state.models) {
    if (!serves.models.includes(model)) {
      orders.push({ kind: "unload-model", model });
    }
  }
  return orders;
}

/** Whether an order loads weights from the weights store. */
export function loadsWeights(order: EngineOrder): boolean {
  return order.kind === "load-model" || order.kind === "load-adapter";
}
