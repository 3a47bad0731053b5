/** Clients of model engines and plain services. */
package io.magnoliaroute.daemon.engine;
