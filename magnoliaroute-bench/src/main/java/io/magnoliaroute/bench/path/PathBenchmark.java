package io.magnoliaroute.bench.path;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures the overhead of one daemon on the loopback interface: the latency that it adds to the
 * first token, compared with direct calls to the stand-in engine in the same run, and the tokens
 * that it forwards per second of processor time.
 */
public final class PathBenchmark {

  private static final int WARM_UP_SAMPLES = 600;
  private static final int SAMPLES = 1_500;
  private static final int ROUNDS = 3;
  private static final int CONCURRENT_CALLS = 16;
  private static final int FAST_WARM_UP_STREAMS = 300;
  private static final int FAST_STREAMS = 900;
  private static final double P99 = 99.0;
  private static final double P50 = 50.0;
  private static final double MICROS_PER_MS = 1_000.0;
  private static final double MAX_ADDED_P99_MS = 5.0;
  private static final double MIN_TOKENS_PER_CORE_SECOND = 33_000;

  private PathBenchmark() {}

  /**
   * The results of one run.
   *
   * @param directP50Ms median time to the first token of direct calls
   * @param directP99Ms 99th percentile of the time to the first token of direct calls
   * @param daemonP50Ms median time to the first token through the daemon
   * @param daemonP99Ms 99th percentile of the time to the first token through the daemon
   * @param tokensPerCoreSecond tokens forwarded per second of processor time of the daemon
   */
  public record Result(
      double directP50Ms,
      double directP99Ms,
      double daemonP50Ms,
      double daemonP99Ms,
      double tokensPerCoreSecond) {

    /** Returns the difference of the 99th percentiles, in ms. */
    public double addedP99Ms() {
      return daemonP99Ms - directP99Ms;
    }
  }

  /**
   * Runs the benchmark, prints its results and returns them.
   *
   * @throws IllegalStateException if the benchmark environment cannot be started
   */
  public static Result run(PrintStream out) {
    Vertx vertx = Vertx.vertx();
    try (PathBenchmarkEnvironment environment = PathBenchmarkEnvironment.start(vertx)) {
      Result result = measure(environment);
      print(result, out);
      return result;
    } catch (IOException e) {
      throw new IllegalStateException("benchmark environment could not be started", e);
    } finally {
      PathBenchmarkEnvironment.await(vertx.close());
    }
  }

  private static Result measure(PathBenchmarkEnvironment environment) {
    PathLoadGenerator load = new PathLoadGenerator(environment);
    load.runDirect(WARM_UP_SAMPLES, CONCURRENT_CALLS);
    load.runThroughDaemon(WARM_UP_SAMPLES, CONCURRENT_CALLS, PathBenchmarkEnvironment.PACED_MODEL);
    Histogram direct = load.runDirect(0, 1);
    Histogram daemon = load.runDirect(0, 1);
    for (int round = 0; round < ROUNDS; round++) {
      direct.add(load.runDirect(SAMPLES / ROUNDS, CONCURRENT_CALLS));
      daemon.add(
          load.runThroughDaemon(
              SAMPLES / ROUNDS, CONCURRENT_CALLS, PathBenchmarkEnvironment.PACED_MODEL));
    }
    load.runThroughDaemon(
        FAST_WARM_UP_STREAMS, CONCURRENT_CALLS, PathBenchmarkEnvironment.FAST_MODEL);
    long cpuBeforeNanos = environment.daemonCpuTime().toNanos();
    load.runThroughDaemon(FAST_STREAMS, CONCURRENT_CALLS, PathBenchmarkEnvironment.FAST_MODEL);
    long cpuNanos = environment.daemonCpuTime().toNanos() - cpuBeforeNanos;
    double tokens = (double) FAST_STREAMS * PathLoadGenerator.FAST_RESPONSE_TOKENS;
    return new Result(
        direct.getValueAtPercentile(P50) / MICROS_PER_MS,
        direct.getValueAtPercentile(P99) / MICROS_PER_MS,
        daemon.getValueAtPercentile(P50) / MICROS_PER_MS,
        daemon.getValueAtPercentile(P99) / MICROS_PER_MS,
        tokens * TimeUnit.SECONDS.toNanos(1) / Math.max(1, cpuNanos));
  }

  private static void print(Result result, PrintStream out) {
    out.printf(
        Locale.ROOT,
        "path: first token p50 %.2f ms direct, %.2f ms through the daemon%n",
        result.directP50Ms(),
        result.daemonP50Ms());
    out.printf(
        Locale.ROOT,
        "path: first token p99 %.2f ms direct, %.2f ms through the daemon, added %.2f ms"
            + " (target at most %.1f)%n",
        result.directP99Ms(),
        result.daemonP99Ms(),
        result.addedP99Ms(),
        MAX_ADDED_P99_MS);
    out.printf(
        Locale.ROOT,
        "path: %.0f tokens for each second of one core (target at least %.0f)%n",
        result.tokensPerCoreSecond(),
        MIN_TOKENS_PER_CORE_SECOND);
  }
}
