/** The daemon process, which connects the core to HTTP, TCP and the platform. */
package io.magnoliaroute.daemon;
