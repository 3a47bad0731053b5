package io.magnoliaroute.core.gateway;

/**
 * The configuration of a service.
 *
 * @param name the name of the service
 * @param healthPath the path of an endpoint's health check
 * @param maxConnections maximum number of connections that one endpoint accepts from all VMs
 * @param slots requests that a model engine runs concurrently; 0 if it is not a model engine
 * @param memoryTokens tokens that fit into a model engine's memory; 0 if it is not a model engine
 * @param tokensPerEvent tokens per event of a stream; 0 if it is not a model engine
 */
public record ServiceSpec(
    String name,
    String healthPath,
    int maxConnections,
    int slots,
    long memoryTokens,
    int tokensPerEvent) {}
