package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;

/** The response to a status query. */
public sealed interface StatusResponse {

  /** The request with the key was executed and returned the given result. */
  record Executed(Bytes result) implements StatusResponse {}

  /** The request with the key has not been executed so far. */
  record NotExecuted() implements StatusResponse {}

  /** No response was received, or it could not be interpreted. */
  record Inconclusive() implements StatusResponse {}
}
