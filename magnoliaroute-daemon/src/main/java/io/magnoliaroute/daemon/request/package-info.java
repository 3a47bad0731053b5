/** Callers' requests and their replies, independent of where they came from. */
package io.magnoliaroute.daemon.request;
