/** HTTP routes for callers, operators and the platform, with authentication and limits. */
package io.magnoliaroute.daemon.http;
