package io.magnoliaroute.core.log;

/** Thrown when a record cannot be decoded; contains the position of the first error. */
public final class MalformedRecordException extends Exception {

  private static final long serialVersionUID = 1L;

  private final String path;
  private final long byteOffset;

  /** Creates an exception for the field at the path and the position in the encoded record. */
  public MalformedRecordException(String path, long byteOffset, String problem) {
    super(path + " at byte " + byteOffset + ": " + problem);
    this.path = path;
    this.byteOffset = byteOffset;
  }

  /** Returns the path of the field, such as {@code record.id.sequence}. */
  public String path() {
    return path;
  }

  /** Returns the position of the error, in bytes from the start of the encoded value. */
  public long byteOffset() {
    return byteOffset;
  }
}
