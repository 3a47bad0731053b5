/** The settings tree that operators publish, and the limits in it. */
package io.magnoliaroute.core.settings;
