package io.magnoliaroute.core.log;

import io.magnoliaroute.core.model.Bytes;
import java.util.List;

/**
 * Records that are appended to a stream together.
 *
 * @param stream the stream
 * @param number the number of the batch within its committer, from 0; a retry has a new number
 * @param ids the ids of the records, in order
 * @param payloads the encoded records, in the same order
 */
public record Batch(String stream, long number, List<RecordId> ids, List<Bytes> payloads) {

  /** Copies the lists and validates that they have the same length. */
  public Batch {
    ids = List.copyOf(ids);
    payloads = List.copyOf(payloads);
    if (ids.size() != payloads.size()) {
      throw new IllegalArgumentException(
          "number of payloads must be " + ids.size() + ", was " + payloads.size());
    }
  }

  /** Returns the total encoded size of the records. */
  public int sizeBytes() {
    int sizeBytes = 0;
    for (Bytes payload : payloads) {
      sizeBytes += payload.sizeBytes();
    }
    return sizeBytes;
  }
}
