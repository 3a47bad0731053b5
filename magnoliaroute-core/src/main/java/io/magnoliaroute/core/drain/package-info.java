/** Endpoints that leave and the planned stop of a VM. */
package io.magnoliaroute.core.drain;
