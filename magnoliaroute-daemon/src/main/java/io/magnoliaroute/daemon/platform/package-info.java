/** Clients of the platform's log, its streams and its VM list. */
package io.magnoliaroute.daemon.platform;
