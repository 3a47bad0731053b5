package io.magnoliaroute.core.model;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** An immutable byte sequence. */
public final class Bytes {

  private static final Bytes EMPTY = new Bytes(new byte[0]);

  private final byte[] content;

  private Bytes(byte[] content) {
    this.content = content;
  }

  /** Returns a byte sequence with a copy of the given array. */
  public static Bytes copyOf(byte[] content) {
    return content.length == 0 ? EMPTY : new Bytes(content.clone());
  }

  /** Returns the UTF-8 encoding of the text. */
  public static Bytes ofUtf8(String text) {
    return new Bytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a copy of the bytes as an array. */
  public byte[] toArray() {
    return content.clone();
  }

  /** Returns the bytes decoded as UTF-8. */
  public String toUtf8() {
    return new String(content, StandardCharsets.UTF_8);
  }

  /** Returns the number of bytes. */
  public int sizeBytes() {
    return content.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Bytes that && Arrays.equals(content, that.content);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(content);
  }

  @Override
  public String toString() {
    return "Bytes[" + content.length + "]";
  }
}
