/** The daemon process: joins the core to HTTP, TCP and the platform. */
package io.magnoliaroute.daemon;
