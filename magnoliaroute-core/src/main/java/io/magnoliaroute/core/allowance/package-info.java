/**
 * Enforces the token budgets of programs whose turns run through many VMs.
 *
 * <p>A holder grants itself slices of a program's budget by appending records to the store, and
 * spends a slice without further store calls. The sum of all grants never exceeds the budget.
 */
package io.magnoliaroute.core.allowance;
