/** Workspaces, the keys that identify their requests, and what a configuration grants them. */
package io.magnoliaroute.core.gateway.workspace;
