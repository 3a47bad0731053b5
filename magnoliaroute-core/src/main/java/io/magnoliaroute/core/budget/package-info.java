/**
 * Team budgets. VMs append grants of budget slices to a log and accept or refuse them in log order;
 * each VM reserves the cost of its calls from the slices that it holds.
 */
package io.magnoliaroute.core.budget;
