package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;
import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * The platform's append-only log.
 *
 * <p>Both methods complete exceptionally with a {@link LogException}. An append that fails with
 * {@link LogException.Kind#TIMED_OUT} may still take effect later.
 */
public interface LogPort {

  /** Appends the records in one batch at consecutive offsets and returns the first offset. */
  CompletionStage<Long> append(String stream, List<Bytes> records);

  /**
   * Reads up to {@code maxRecords} records, starting at the offset. An empty page is not an error.
   */
  CompletionStage<LogPage> read(String stream, long fromOffset, int maxRecords);
}
