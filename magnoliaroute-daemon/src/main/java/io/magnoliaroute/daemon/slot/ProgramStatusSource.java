package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.cache.ProgramStatus;
import io.magnoliaroute.core.model.ProgramId;
import io.vertx.core.Future;

/** Queries partition owners for the status of programs. */
@FunctionalInterface
public interface ProgramStatusSource {

  /** Returns the status of the program; the future fails if the owner did not respond. */
  Future<ProgramStatus> statusOf(ProgramId program);
}
