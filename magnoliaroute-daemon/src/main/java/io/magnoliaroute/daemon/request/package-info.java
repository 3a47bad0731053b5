/** Requests of callers and their replies, independent of the transport that received them. */
package io.magnoliaroute.daemon.request;
