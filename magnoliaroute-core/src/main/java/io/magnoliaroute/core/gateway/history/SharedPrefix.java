package io.magnoliaroute.core.gateway.history;

import io.magnoliaroute.core.gateway.RequestMetadata.PromptSegment;
import java.util.List;

/** Determines which leading bytes of an input are shared with other inputs. */
public final class SharedPrefix {

  /** A shorter part is not worth a record of its own. */
  static final int MIN_BYTES = 1_024;

  private SharedPrefix() {}

  /**
   * Returns the number of leading bytes that belong to shared segments: all but the last one, with
   * bytes in proportion to tokens. Returns 0 if too few bytes are shared.
   *
   * @param prefix the segments of the whole prompt, the last one being the request's own
   */
  public static int sharedBytes(int inputBytes, List<PromptSegment> prefix) {
    long totalTokens = prefix.stream().mapToLong(PromptSegment::tokens).sum();
    if (prefix.size() < 2 || totalTokens <= 0) {
      return 0;
    }
    long sharedTokens = totalTokens - prefix.get(prefix.size() - 1).tokens();
    long bytes = (long) ((double) sharedTokens / totalTokens * inputBytes);
    return bytes < MIN_BYTES || bytes > inputBytes ? 0 : (int) bytes;
  }
}
