/** Team budgets: slices granted by log order, and the holder that spends them. */
package io.magnoliaroute.core.budget;
