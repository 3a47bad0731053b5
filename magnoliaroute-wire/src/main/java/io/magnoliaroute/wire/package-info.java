/** Messages between VMs: types, MessagePack codec and framing. */
package io.magnoliaroute.wire;
