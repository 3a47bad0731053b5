/**
 * The table of VMs that each VM maintains by probing and gossip, and the choice of owners from it.
 * Each VM probes only a few others per period.
 *
 * <p>The table is a hint: a wrong view increases latency but never violates a guarantee.
 */
package io.magnoliaroute.core.membership;
