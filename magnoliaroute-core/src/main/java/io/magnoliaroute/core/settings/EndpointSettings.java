package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;

/**
 * The settings of one endpoint of a pool.
 *
 * @param id the id of the endpoint, unique in the tree
 * @param host its IP address
 * @param port its TCP port
 * @param dataCentre the data centre in which it runs
 * @param windowSlots the maximum number of calls that it is sent concurrently
 * @param urgentReservedSlots how many of these slots are reserved for urgent calls
 * @param checksFencingToken whether it rejects a request with an outdated fencing token
 * @param draining whether it must not be sent new calls
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
