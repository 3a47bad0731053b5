/** A stand-in for a model engine in the chat-completions shape. */
package io.magnoliaroute.standin.engine;
