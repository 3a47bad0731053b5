/** The port to the platform's append-only log and its record types. */
package io.magnoliaroute.core.log;
