package io.magnoliaroute.bench.capacity;

/** Measures the heap in use. */
public final class Heap {

  /** Repeated, because one collection may leave objects that became unreachable during it. */
  private static final int COLLECTIONS = 4;

  private Heap() {}

  /** Collects garbage and returns the bytes in use. */
  public static long usedBytes() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
