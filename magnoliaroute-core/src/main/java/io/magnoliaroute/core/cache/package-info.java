/** Release of engine memory that programs which have ended still hold. */
package io.magnoliaroute.core.cache;
