package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;

/** The response to a status query. */
public sealed interface StatusAnswer {

  /** The request with the key was executed and returned the given result. */
  record Ran(Bytes result) implements StatusAnswer {}

  /** The request with the key has not been executed so far. */
  record DidNotRun() implements StatusAnswer {}

  /** No response was received, or it could not be interpreted. */
  record Unclear() implements StatusAnswer {}
}
