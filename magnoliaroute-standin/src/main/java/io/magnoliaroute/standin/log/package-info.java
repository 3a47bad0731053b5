/** A stand-in for the platform's append-only log, in process and over HTTP. */
package io.magnoliaroute.standin.log;
