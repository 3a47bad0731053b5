/** A stand-in for the append-only log of the platform, in process and over HTTP. */
package io.magnoliaroute.standin.log;
