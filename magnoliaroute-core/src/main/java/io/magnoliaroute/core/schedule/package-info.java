/** Order, admission and slot grants of one endpoint group. */
package io.magnoliaroute.core.schedule;
