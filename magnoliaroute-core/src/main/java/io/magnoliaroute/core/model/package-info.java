/** Identifiers, enums and immutable values shared by all modules. */
package io.magnoliaroute.core.model;
