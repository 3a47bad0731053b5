/** The path benchmark: what the daemon adds to a direct call to an engine. */
package io.magnoliaroute.bench.path;
