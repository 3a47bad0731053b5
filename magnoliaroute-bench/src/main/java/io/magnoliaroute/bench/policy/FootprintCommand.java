package io.magnoliaroute.bench.policy;

import com.github.rvesse.airline.annotations.Command;
import io.magnoliaroute.bench.capacity.HeapUsage;
import java.util.Locale;

/** Measures the heap used by each waiting call and each endpoint of a group. */
@Command(
    name = "footprint",
    description = "Measures the heap bytes for each waiting call and each endpoint")
public final class FootprintCommand implements Runnable {

  private static final int FEW_CALLS = 20_000;
  private static final int MANY_CALLS = 220_000;
  private static final int FEW_ENDPOINTS = 1_000;
  private static final int MANY_ENDPOINTS = 21_000;

  /** Prints the heap bytes per call and per endpoint, from the difference of two group sizes. */
  @Override
  public void run() {
    long fewCalls = heapBytes(27, FEW_CALLS);
    long manyCalls = heapBytes(27, MANY_CALLS);
    long fewEndpoints = heapBytes(FEW_ENDPOINTS, 0);
    long manyEndpoints = heapBytes(MANY_ENDPOINTS, 0);
    System.out.printf(
        Locale.ROOT,
        "bytes for each waiting call (with its program and ids): %d%n",
        (manyCalls - fewCalls) / (MANY_CALLS - FEW_CALLS));
    System.out.printf(
        Locale.ROOT,
        "bytes for each endpoint: %d%n",
        (manyEndpoints - fewEndpoints) / (MANY_ENDPOINTS - FEW_ENDPOINTS));
  }

  private static long heapBytes(int endpoints, int calls) {
    long before = HeapUsage.usedBytes();
    SchedulerFixture fixture = new SchedulerFixture(endpoints);
    fixture.offer(calls, 1_000_000);
    long after = HeapUsage.usedBytes();
    if (fixture.scheduler.waitingCount() != calls) {
      throw new IllegalStateException(
          "unexpected number of waiting calls: " + fixture.scheduler.waitingCount());
    }
    return after - before;
  }
}
