/** The settings tree that operators publish, the settings of a process, and their parsers. */
package io.magnoliaroute.core.settings;
