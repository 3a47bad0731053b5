/** Runs the group scheduler with simulated engines and callers in virtual time. */
package io.magnoliaroute.bench.policy;
