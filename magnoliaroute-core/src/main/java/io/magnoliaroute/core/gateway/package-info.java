/** Decides where forwarded requests go, what may be sent again, and what this VM believes. */
package io.magnoliaroute.core.gateway;
