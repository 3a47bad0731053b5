/** Retry budgets, quarantine of requests that crash endpoints, and limits on looping programs. */
package io.magnoliaroute.core.retry;
