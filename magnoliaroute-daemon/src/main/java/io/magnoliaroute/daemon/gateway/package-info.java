/** Serves clients on the platform: front end, forwarding, connections, beliefs, stop. */
package io.magnoliaroute.daemon.gateway;
