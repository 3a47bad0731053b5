/** Turns kept by the system: their records, where they are kept, and how a chain is assembled. */
package io.magnoliaroute.core.gateway.history;
