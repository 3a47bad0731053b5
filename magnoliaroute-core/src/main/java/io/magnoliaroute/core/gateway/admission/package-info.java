/**
 * Decides whether and in which order requests are served while a service has too little capacity.
 * The decisions take times as arguments and do no I/O.
 */
package io.magnoliaroute.core.gateway.admission;
