package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.ProgramId;

/** Hears of programs that ended, so that engine memory and scheduling state are released. */
@FunctionalInterface
public interface ProgramEndings {

  /**
   * Takes an ended program.
   *
   * @param program the program
   * @param root the root of its tree
   */
  void ended(ProgramId program, ProgramId root);
}
