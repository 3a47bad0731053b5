/** Commands of the command-line tool and its HTTP client. */
package io.magnoliaroute.cli;
