/** Stand-ins for engines, services and the platform, with faults that tests can switch. */
package io.magnoliaroute.standin;
