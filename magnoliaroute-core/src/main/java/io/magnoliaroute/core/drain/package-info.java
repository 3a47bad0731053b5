/** Draining of endpoints and the planned shutdown of a VM. */
package io.magnoliaroute.core.drain;
