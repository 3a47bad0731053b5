/** Connections between VMs: handshake, forwarding of requests, remote slots and membership. */
package io.magnoliaroute.daemon.peer;
