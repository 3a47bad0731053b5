/** Links between VMs: handshake, forwarding of requests, membership. */
package io.magnoliaroute.daemon.peer;
