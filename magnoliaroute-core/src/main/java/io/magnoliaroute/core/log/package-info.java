/**
 * The interface to the platform's append-only log: record format, group commit and stream reading.
 */
package io.magnoliaroute.core.log;
