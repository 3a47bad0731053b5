/** Placement of models and adapters on engines, and moves of KV caches between engines. */
package io.magnoliaroute.core.placement;
