/** Execution of programs at the partition owner: log-backed state, turns and actions. */
package io.magnoliaroute.daemon.program;
