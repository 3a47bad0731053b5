/** Stand-ins for the users' platform: its store and endpoints, with fault injection. */
package io.magnoliaroute.standin.users;
