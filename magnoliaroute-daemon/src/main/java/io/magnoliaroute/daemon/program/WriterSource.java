package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.WriterId;

/** Gives the writer id of this run of the VM; it changes after a pause. */
@FunctionalInterface
public interface WriterSource {

  /** Returns the current writer id. */
  WriterId current();
}
