/** Quotas: the number of requests that all VMs together run for a workspace in a time window. */
package io.magnoliaroute.core.gateway.quota;
