/** Command line of the policy, capacity and path benchmarks. */
package io.magnoliaroute.bench;
