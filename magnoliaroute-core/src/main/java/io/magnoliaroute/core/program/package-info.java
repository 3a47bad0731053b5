/** Program partitions: records, the state derived from them, claims, leases and snapshots. */
package io.magnoliaroute.core.program;
