package io.magnoliaroute.core.model;

import java.nio.charset.StandardCharsets;

/** Hash functions whose results are the same on every VM and in every release. */
public final class Hashing {

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashing() {}

  /** Returns the 64-bit FNV-1a hash of the text in UTF-8, finalized with {@link #mix}. */
  public static long fnv1a64(String text) {
    long hash = FNV_OFFSET_BASIS;
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Returns a 64-bit value in which each bit depends on all bits of the input (the finalizer of
   * MurmurHash3).
   */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
