package io.magnoliaroute.core.settings;

/** Reads the branch {@code limits}; a key that is not set keeps its default. */
final class LimitsReader {

  private static final int BYTES_PER_KIB = 1024;
  private static final int MAX_BYTES = 1 << 30;
  private static final long MAX_DRAIN_TIMEOUT_MS = 3_600_000;

  private LimitsReader() {}

  static Limits read(Section section) {
    Limits defaults = Limits.defaults();
    int bodyBytes =
        section.intOrDefault("body_bytes", defaults.bodyBytes(), BYTES_PER_KIB, MAX_BYTES);
    int frameBytes =
        section.intOrDefault("frame_bytes", defaults.frameBytes(), BYTES_PER_KIB, MAX_BYTES);
    if (frameBytes < bodyBytes) {
      section.error(
          "frame_bytes", "must be at least body_bytes, is " + frameBytes + " below " + bodyBytes);
    }
    return new Limits(
        section.longOrDefault(
            "drain_timeout_ms", defaults.drainTimeoutMs(), 0, MAX_DRAIN_TIMEOUT_MS),
        section.longOrDefault("unlogged_bytes", defaults.unloggedBytes(), 0, MAX_BYTES),
        section.intOrDefault("unlogged_turns", defaults.unloggedTurns(), 0, 10_000),
        frameBytes,
        bodyBytes,
        section.intOrDefault("header_bytes", defaults.headerBytes(), BYTES_PER_KIB, MAX_BYTES),
        section.intOrDefault("concurrent_streams", defaults.concurrentStreams(), 1, 1_000_000));
  }
}
