/** Scheduling of the calls of one endpoint group: admission, queueing and slot grants. */
package io.magnoliaroute.core.schedule;
