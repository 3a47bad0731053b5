/** Clients of the platform's log and VM list, and following of streams. */
package io.magnoliaroute.daemon.platform;
