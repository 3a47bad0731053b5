package io.magnoliaroute.core.gateway;

/**
 * What the configuration says of a service.
 *
 * @param name the name of the service
 * @param maxConnections connections that one endpoint accepts from all VMs together
 * @param slots requests that a model engine runs at once; 0 where the service is no model engine
 * @param memoryTokens tokens that fit into the memory of a model engine; 0 where it is none
 * @param tokensPerEvent tokens in each event of a stream; 0 where the service is no model engine
 */
public record ServiceSpec(
    String name, int maxConnections, int slots, long memoryTokens, int tokensPerEvent) {}
