/** Checks of a routing configuration before an operator publishes it. */
package io.magnoliaroute.core.gateway.check;
