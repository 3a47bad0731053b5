/** The HTTP interface of callers and operators. */
package io.magnoliaroute.daemon.http;
