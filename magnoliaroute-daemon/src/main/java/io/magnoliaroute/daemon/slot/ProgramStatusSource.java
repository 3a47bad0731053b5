package io.magnoliaroute.daemon.slot;

import io.magnoliaroute.core.cache.ProgramStatus;
import io.magnoliaroute.core.model.ProgramId;
import io.vertx.core.Future;

/** Asks partition owners whether programs live. */
@FunctionalInterface
public interface ProgramStatusSource {

  /** Returns the status; fails when the owner did not answer. */
  Future<ProgramStatus> statusOf(ProgramId program);
}
