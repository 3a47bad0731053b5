/** Start, readiness and planned stop. */
package io.magnoliaroute.daemon.lifecycle;
