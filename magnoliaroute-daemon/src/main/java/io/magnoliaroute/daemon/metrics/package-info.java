/** Counters and histograms. */
package io.magnoliaroute.daemon.metrics;
