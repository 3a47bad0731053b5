package io.magnoliaroute.daemon.platform;

import io.magnoliaroute.core.log.LogException;
import java.util.concurrent.CompletionException;

/** Reads the kind of a failed log operation. */
public final class LogFailures {

  private LogFailures() {}

  /** Returns the kind; a failure of another type counts as timed out, which assumes least. */
  public static LogException.Kind kindOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof LogException known ? known.kind() : LogException.Kind.TIMED_OUT;
  }
}
