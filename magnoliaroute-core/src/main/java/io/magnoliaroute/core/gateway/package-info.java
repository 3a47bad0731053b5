/** Routing, endpoint selection and retry decisions for forwarded requests. */
package io.magnoliaroute.core.gateway;
