/** State partitioned into shards, each guarded by its own lock. */
package io.magnoliaroute.core.state;
