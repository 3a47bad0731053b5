/** Stand-ins for the weight store and the VM list of the platform. */
package io.magnoliaroute.standin.platform;
