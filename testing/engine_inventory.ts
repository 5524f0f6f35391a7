/** Builds an inventory with one service and an engine at each loopback port. */
export function engineInventory(ports: readonly number[]) {
  return {
    services: [{ name: "alerts", model: "alert-writer" }],
    engines: ports.map((port, index) => ({
      id: `engine-${index}`,
      service: "alerts",
      address: "127.0.0.1",
      port,
      failureDomain: "a",
    })),
  };
}
