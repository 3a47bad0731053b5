/** Gateway of a VM on the platform: serves clients, forwards requests and follows the store. */
package io.magnoliaroute.daemon.gateway;
