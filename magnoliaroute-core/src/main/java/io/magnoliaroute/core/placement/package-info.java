/** Which models and adapters are loaded where, and how KV cache moves. */
package io.magnoliaroute.core.placement;
