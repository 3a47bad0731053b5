/** State in shards, each under its own lock. */
package io.magnoliaroute.core.state;
