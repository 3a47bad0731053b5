/**
 * Processing of actions of plain services, including at-most-once execution of non-idempotent
 * actions.
 */
package io.magnoliaroute.core.action;
