/** Choice of an endpoint: prefix affinity, health and placement. */
package io.magnoliaroute.core.route;
