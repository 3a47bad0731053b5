/**
 * The table of VMs that each VM keeps by partial probing, and the choice of owners from it.
 *
 * <p>The table is advice: a wrong view costs latency and never breaks a guarantee.
 */
package io.magnoliaroute.core.membership;
