package io.magnoliaroute.core.gateway.history;

import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;

/** A record that is kept under a key: a turn, or a part of an input that many turns share. */
public sealed interface HistoryRecord permits KeptTurn, SharedPart {

  /** Returns the key under which the record is kept. */
  String key();

  /** Returns the Unix time until which the record is kept. */
  long keptUntilMs();

  /** Returns the approximate memory that the record takes. */
  int sizeBytes();

  /** Encodes the value that is kept under the key. */
  Bytes encode();

  /** Decodes the value that is kept under a key. */
  static HistoryRecord decode(String key, Bytes value) throws MalformedRecordException {
    return HistoryKeys.isPart(key) ? SharedPart.decode(key, value) : KeptTurn.decode(key, value);
  }
}
