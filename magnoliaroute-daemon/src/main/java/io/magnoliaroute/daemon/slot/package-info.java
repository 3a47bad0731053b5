/** Slots at endpoints: the group owner's scheduler and requests to it. */
package io.magnoliaroute.daemon.slot;
