package io.magnoliaroute.daemon.request;

/** An exception that fails a future with a problem. */
public final class ProblemException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient Problem problem;

  /** Creates an exception without a stack trace, because it is part of normal control flow. */
  ProblemException(Problem problem) {
    super(problem.code().code() + ": " + problem.detail(), null, false, false);
    this.problem = problem;
  }

  /** Returns the problem. */
  public Problem problem() {
    return problem;
  }

  /**
   * Returns the problem of a failure; unexpected exceptions map to {@link ProblemCode#INTERNAL}.
   */
  public static Problem problemOf(Throwable failure) {
    if (failure instanceof ProblemException known) {
      return known.problem();
    }
    return Problem.of(ProblemCode.INTERNAL, String.valueOf(failure));
  }
}
