package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.ProgramId;

/** Listener for ended programs, whose prefix-cache entries and scheduling state can be released. */
@FunctionalInterface
public interface ProgramEndListener {

  /**
   * Handles the end of a program.
   *
   * @param program the program that ended
   * @param root the root of its program tree
   */
  void onProgramEnded(ProgramId program, ProgramId root);
}
