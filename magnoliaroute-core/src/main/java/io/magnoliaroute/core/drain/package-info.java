/** Draining of endpoints and the graceful shutdown of a VM. */
package io.magnoliaroute.core.drain;
