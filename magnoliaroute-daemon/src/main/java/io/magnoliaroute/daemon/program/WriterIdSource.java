package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.log.WriterId;

/** Supplies the writer id of this VM's current incarnation; the id changes after a pause. */
@FunctionalInterface
public interface WriterIdSource {

  /** Returns the current writer id. */
  WriterId current();
}
