/** Readiness, clock and graceful shutdown of the daemon. */
package io.magnoliaroute.daemon.lifecycle;
