/** Stand-ins for engines, services and the platform, with fault injection for tests. */
package io.magnoliaroute.standin;
