/**
 * The port to the platform's append-only log, the form of its records, group commit and reading.
 */
package io.magnoliaroute.core.log;
