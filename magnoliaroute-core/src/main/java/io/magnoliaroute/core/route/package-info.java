/** Choice of the endpoint for a call by prefix affinity, endpoint health and loaded models. */
package io.magnoliaroute.core.route;
