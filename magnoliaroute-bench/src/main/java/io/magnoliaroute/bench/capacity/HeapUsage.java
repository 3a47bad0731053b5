package io.magnoliaroute.bench.capacity;

/** Measures the heap in use after garbage collection. */
public final class HeapUsage {

  /** One collection may leave objects that became unreachable while it ran. */
  private static final int GC_RUNS = 4;

  private HeapUsage() {}

  /** Runs the garbage collector and returns the heap in use in bytes. */
  public static long usedBytes() {
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
