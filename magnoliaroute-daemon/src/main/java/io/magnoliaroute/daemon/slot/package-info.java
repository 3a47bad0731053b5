/** Slots at endpoints: the scheduler of the group owner and the requests to it. */
package io.magnoliaroute.daemon.slot;
