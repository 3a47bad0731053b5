/**
 * Measures the slopes of processor time, memory and bytes from which the capacity of a VM follows:
 * membership, log, configuration.
 */
package io.magnoliaroute.bench.capacity;
