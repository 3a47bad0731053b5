/** The settings tree in force: acceptance by log order, snapshots and exchange between peers. */
package io.magnoliaroute.core.config;
