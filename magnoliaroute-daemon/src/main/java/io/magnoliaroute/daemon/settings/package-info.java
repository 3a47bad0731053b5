/** The settings in force on this VM. */
package io.magnoliaroute.daemon.settings;
