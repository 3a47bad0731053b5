package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;

/**
 * One endpoint of a pool.
 *
 * @param id the endpoint
 * @param host its IP address
 * @param port its TCP port
 * @param dataCentre where it runs
 * @param windowSlots calls admitted at the same time
 * @param urgentReservedSlots slots of the window that only urgent calls may take
 * @param checksFencingToken whether it refuses an order with an old fencing token
 * @param draining whether it must get no new work
 */
public record EndpointSettings(
    EndpointId id,
    String host,
    int port,
    DataCentreId dataCentre,
    int windowSlots,
    int urgentReservedSlots,
    boolean checksFencingToken,
    boolean draining) {}
