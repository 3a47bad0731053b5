/**
 * Keeps the token budgets of programs whose turns run through many VMs.
 *
 * <p>A holder grants itself slices of a program's budget by records in the store and spends them
 * without further calls. The sum of all grants never exceeds the budget.
 */
package io.magnoliaroute.core.allowance;
