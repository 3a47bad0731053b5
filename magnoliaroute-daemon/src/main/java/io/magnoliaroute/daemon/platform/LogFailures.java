package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.log.LogException;
import java.util.concurrent.CompletionException;

/** Classifies failures of log operations. */
public final class LogFailures {

  private LogFailures() {}

  /**
   * Returns the kind of the failure. A failure other than a {@link LogException} counts as timed
   * out, because an append may then have taken effect or not.
   */
  public static LogException.Kind kindOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof LogException logFailure
        ? logFailure.kind()
        : LogException.Kind.TIMED_OUT;
  }
}
