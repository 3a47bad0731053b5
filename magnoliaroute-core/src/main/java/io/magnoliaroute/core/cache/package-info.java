/** Release of cached engine memory of programs that have ended. */
package io.magnoliaroute.core.cache;
