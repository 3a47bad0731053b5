package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.ProgramId;

/** Mirrors a program's unlogged turns to one peer. */
@FunctionalInterface
public interface HistoryMirror {

  /** Sends the program's currently buffered turns to the peer. */
  void mirrorUnloggedTurns(int partition, ProgramId program);
}
