package io.magnoliaroute.daemon.request;

/** Carries a problem through a future. */
public final class ProblemException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient Problem problem;

  /** Makes an exception without a stack trace, because it is part of the normal flow. */
  ProblemException(Problem problem) {
    super(problem.code().code() + ": " + problem.detail(), null, false, false);
    this.problem = problem;
  }

  /** Returns the problem. */
  public Problem problem() {
    return problem;
  }

  /** Returns the problem of any failure; an unexpected one counts as internal. */
  public static Problem of(Throwable failure) {
    if (failure instanceof ProblemException known) {
      return known.problem();
    }
    return Problem.of(ProblemCode.INTERNAL, String.valueOf(failure));
  }
}
