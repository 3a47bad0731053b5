package io.magnoliaroute.core.gateway.quota;

import java.util.Arrays;

/**
 * Counts the permits of a workspace that were granted and not returned within the last time window.
 */
final class GrantWindow {

  /** Slots of a window; a grant counts for up to one slot longer than the window. */
  private static final int SLOTS = 50;

  private final long slotMs;
  private final int[] counts = new int[SLOTS + 1];
  private long newestSlot;
  private int total;

  GrantWindow(long windowMs, long nowMs) {
    this.slotMs = Math.max(1, windowMs / SLOTS);
    this.newestSlot = Math.floorDiv(nowMs, slotMs);
  }

  /** Returns the count after removing what is older than the window. */
  int count(long nowMs) {
    long slot = Math.floorDiv(nowMs, slotMs);
    if (slot - newestSlot >= counts.length) {
      Arrays.fill(counts, 0);
      total = 0;
      newestSlot = slot;
    }
    while (newestSlot < slot) {
      newestSlot++;
      int index = indexOf(newestSlot);
      total -= counts[index];
      counts[index] = 0;
    }
    return total;
  }

  void add(long nowMs) {
    count(nowMs);
    counts[indexOf(newestSlot)]++;
    total++;
  }

  /** Removes a grant; returns false if the window holds none of that time. */
  boolean remove(long grantedAtMs, long nowMs) {
    count(nowMs);
    long slot = Math.min(newestSlot, Math.floorDiv(grantedAtMs, slotMs));
    // The times of two VMs differ by the delay of the message, so the next slot counts as well.
    for (long each = slot; each <= Math.min(newestSlot, slot + 1); each++) {
      if (newestSlot - each < counts.length && counts[indexOf(each)] > 0) {
        counts[indexOf(each)]--;
        total--;
        return true;
      }
    }
    return false;
  }

  private int indexOf(long slot) {
    return Math.floorMod(slot, counts.length);
  }
}
