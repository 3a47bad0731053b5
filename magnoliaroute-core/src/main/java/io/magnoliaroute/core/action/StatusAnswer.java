package io.magnoliaroute.core.action;

import io.magnoliaroute.core.model.Bytes;

/** The answer to a status query. */
public sealed interface StatusAnswer {

  /** The key has run with the given result. */
  record Ran(Bytes result) implements StatusAnswer {}

  /** The key has not run so far. */
  record DidNotRun() implements StatusAnswer {}

  /** No answer, or one that says neither. */
  record Unclear() implements StatusAnswer {}
}
