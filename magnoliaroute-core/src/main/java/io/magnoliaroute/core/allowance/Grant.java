package io.magnoliaroute.core.allowance;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;

/**
 * The most recent grant record of a program.
 *
 * @param program the id of the program
 * @param grantedTokens total number of tokens granted so far to all holders
 * @param holder the holder that wrote the record
 */
public record Grant(String program, long grantedTokens, String holder) {

  private static final int GRANTED = 1;
  private static final int HOLDER = 2;

  /** Encodes the value that is stored under the program's key. */
  public Bytes encode() {
    return new FieldWriter().put(GRANTED, grantedTokens).put(HOLDER, holder).toBytes();
  }

  /** Decodes the value that is stored under a program's key. */
  public static Grant decode(String program, Bytes value) throws MalformedRecordException {
    FieldReader reader = FieldReader.of("grant of " + program, value);
    return new Grant(
        program,
        reader.integer(GRANTED, "granted", 0, Long.MAX_VALUE),
        reader.string(HOLDER, "holder"));
  }
}
