/** The active settings of this VM. */
package io.magnoliaroute.daemon.settings;
