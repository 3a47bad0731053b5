/** Measurements of time, memory and bytes as functions of the load. */
package io.magnoliaroute.bench.capacity;
