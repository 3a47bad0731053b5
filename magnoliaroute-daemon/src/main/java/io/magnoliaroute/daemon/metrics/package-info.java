/** Counters, gauges and histograms of the daemon. */
package io.magnoliaroute.daemon.metrics;
