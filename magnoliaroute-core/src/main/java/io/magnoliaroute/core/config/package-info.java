/** The effective settings: acceptance in log order, snapshots and exchange between peers. */
package io.magnoliaroute.core.config;
