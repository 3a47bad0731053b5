package io.magnoliaroute.core.allowance;

import io.magnoliaroute.core.log.FieldReader;
import io.magnoliaroute.core.log.FieldWriter;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;

/**
 * The newest record of a program.
 *
 * @param program the program
 * @param grantedTokens tokens granted so far, to all holders together
 * @param holder the holder that wrote the record
 */
public record Grant(String program, long grantedTokens, String holder) {

  private static final int GRANTED = 1;
  private static final int HOLDER = 2;

  /** Returns the value that is kept under the program's key. */
  public Bytes encode() {
    return new FieldWriter().put(GRANTED, grantedTokens).put(HOLDER, holder).toBytes();
  }

  /** Decodes the value that is kept under a program's key. */
  public static Grant decode(String program, Bytes value) throws MalformedRecordException {
    FieldReader reader = FieldReader.of("grant of " + program, value);
    return new Grant(
        program,
        reader.integer(GRANTED, "granted", 0, Long.MAX_VALUE),
        reader.text(HOLDER, "holder"));
  }
}
