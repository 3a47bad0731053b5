/** A stand-in for a model engine with a chat completions API. */
package io.magnoliaroute.standin.engine;
