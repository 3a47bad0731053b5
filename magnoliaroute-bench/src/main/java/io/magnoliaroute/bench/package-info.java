/** Policy benchmark, capacity slopes and path benchmark. */
package io.magnoliaroute.bench;
