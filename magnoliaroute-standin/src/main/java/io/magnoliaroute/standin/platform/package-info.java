/** Stand-ins for the platform's weight store and VM list. */
package io.magnoliaroute.standin.platform;
