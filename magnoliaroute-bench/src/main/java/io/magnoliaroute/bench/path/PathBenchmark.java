package io.magnoliaroute.bench.path;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures what one daemon on loopback adds to a direct call to the stand-in engine in the same
 * run: time to the first token, and the daemon's processor time for each forwarded token.
 */
public final class PathBenchmark {

  private static final int WARM_UP_SAMPLES = 600;
  private static final int SAMPLES = 1_500;
  private static final int ROUNDS = 3;
  private static final int CONCURRENT = 16;
  private static final int FAST_WARM_UP_STREAMS = 300;
  private static final int FAST_STREAMS = 900;
  private static final double P99 = 99.0;
  private static final double P50 = 50.0;
  private static final double MICROS_PER_MS = 1_000.0;
  private static final double TARGET_ADDED_MS = 5.0;
  private static final double TARGET_TOKENS_PER_CORE = 33_000;

  private PathBenchmark() {}

  /**
   * The figures of one run.
   *
   * @param directP50Ms median time to the first token of a direct call
   * @param directP99Ms 99th percentile of a direct call
   * @param daemonP50Ms median through the daemon
   * @param daemonP99Ms 99th percentile through the daemon
   * @param tokensPerCoreSecond tokens forwarded for each second of the daemon's processor time
   */
  public record Result(
      double directP50Ms,
      double directP99Ms,
      double daemonP50Ms,
      double daemonP99Ms,
      double tokensPerCoreSecond) {

    /** Returns the time that the daemon adds to the 99th percentile. */
    public double addedP99Ms() {
      return daemonP99Ms - directP99Ms;
    }
  }

  /** Runs the benchmark and prints its figures. */
  public static Result run(PrintStream out) {
    Vertx vertx = Vertx.vertx();
    try (PathWorld world = PathWorld.start(vertx)) {
      Result result = measure(world);
      print(result, out);
      return result;
    } catch (IOException e) {
      throw new IllegalStateException("the benchmark did not start", e);
    } finally {
      PathWorld.await(vertx.close());
    }
  }

  private static Result measure(PathWorld world) {
    PathLoad load = new PathLoad(world);
    load.direct(WARM_UP_SAMPLES, CONCURRENT);
    load.throughDaemon(WARM_UP_SAMPLES, CONCURRENT, PathWorld.PACED);
    Histogram direct = load.direct(0, 1);
    Histogram daemon = load.direct(0, 1);
    for (int round = 0; round < ROUNDS; round++) {
      direct.add(load.direct(SAMPLES / ROUNDS, CONCURRENT));
      daemon.add(load.throughDaemon(SAMPLES / ROUNDS, CONCURRENT, PathWorld.PACED));
    }
    load.throughDaemon(FAST_WARM_UP_STREAMS, CONCURRENT, PathWorld.FAST);
    long cpuBeforeNanos = world.daemonCpu().toNanos();
    load.throughDaemon(FAST_STREAMS, CONCURRENT, PathWorld.FAST);
    long cpuNanos = world.daemonCpu().toNanos() - cpuBeforeNanos;
    double tokens = (double) FAST_STREAMS * PathLoad.FAST_TOKENS;
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
        TARGET_ADDED_MS);
    out.printf(
        Locale.ROOT,
        "path: %.0f tokens for each second of one core (target at least %.0f)%n",
        result.tokensPerCoreSecond(),
        TARGET_TOKENS_PER_CORE);
  }
}
