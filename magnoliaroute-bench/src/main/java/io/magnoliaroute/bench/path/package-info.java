/** Path benchmark: latency and processor time that the daemon adds to a direct engine call. */
package io.magnoliaroute.bench.path;
