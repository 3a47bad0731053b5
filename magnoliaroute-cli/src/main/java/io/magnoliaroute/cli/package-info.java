/** The command-line tool. */
package io.magnoliaroute.cli;
