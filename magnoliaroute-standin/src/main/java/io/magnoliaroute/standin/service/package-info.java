/** A stand-in for a plain service with non-idempotent operations. */
package io.magnoliaroute.standin.service;
