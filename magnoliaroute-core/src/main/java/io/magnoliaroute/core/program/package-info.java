/** Program partitions: their records, the rules that give each record its verdict, and claims. */
package io.magnoliaroute.core.program;
