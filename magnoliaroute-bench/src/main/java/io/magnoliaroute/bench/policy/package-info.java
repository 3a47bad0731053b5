/** Drives the group scheduler with fake engines and callers under a virtual clock. */
package io.magnoliaroute.bench.policy;
