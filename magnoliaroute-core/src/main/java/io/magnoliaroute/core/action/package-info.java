/** Actions on plain services: the steps that make a non-idempotent action run at most once. */
package io.magnoliaroute.core.action;
