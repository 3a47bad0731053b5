/**
 * Measures the marginal cost in processor time, memory and bytes that determines the capacity of a
 * VM: membership, log, configuration, budgets, metrics and messages between VMs.
 */
package io.magnoliaroute.bench.capacity;
