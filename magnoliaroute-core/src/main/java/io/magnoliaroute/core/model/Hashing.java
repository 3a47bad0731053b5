package io.magnoliaroute.core.model;

import java.nio.charset.StandardCharsets;

/** Hash functions whose results are the same on every VM and in every release. */
public final class Hashing {

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashing() {}

  /** Returns the 64-bit FNV-1a hash of the text in UTF-8, finished with a bit mixer. */
  public static long fnv1a64(String text) {
    long hash = FNV_OFFSET_BASIS;
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Spreads the bits of a 64-bit value, so that all bits of the result depend on all of its bits.
   */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
