package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.ProgramId;

/** Copies unlogged turns of a program to one peer. */
@FunctionalInterface
public interface HistoryMirror {

  /** Copies what is held of the program now. */
  void unlogged(int partition, ProgramId program);
}
