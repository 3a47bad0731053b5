/** Stand-ins for the users' platform: its store and the endpoints, with their faults. */
package io.magnoliaroute.standin.users;
