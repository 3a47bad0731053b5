package io.magnoliaroute.core.settings;

/** Reads the branch of limits; a key that is not given keeps its default. */
final class LimitsReader {

  private static final int KIB_BYTES = 1024;
  private static final int MAX_BYTES = 1 << 30;
  private static final long MAX_DRAIN_MS = 3_600_000;

  private LimitsReader() {}

  static Limits read(Section section) {
    Limits defaults = Limits.defaults();
    int body = section.intOr("body_bytes", defaults.bodyBytes(), KIB_BYTES, MAX_BYTES);
    int frame = section.intOr("frame_bytes", defaults.frameBytes(), KIB_BYTES, MAX_BYTES);
    if (frame < body) {
      section.error("frame_bytes", "must be at least body_bytes, is " + frame + " below " + body);
    }
    return new Limits(
        section.longOr("drain_timeout_ms", defaults.drainTimeoutMs(), 0, MAX_DRAIN_MS),
        section.longOr("unlogged_bytes", defaults.unloggedBytes(), 0, MAX_BYTES),
        section.intOr("unlogged_turns", defaults.unloggedTurns(), 0, 10_000),
        frame,
        body,
        section.intOr("header_bytes", defaults.headerBytes(), KIB_BYTES, MAX_BYTES),
        section.intOr("concurrent_streams", defaults.concurrentStreams(), 1, 1_000_000));
  }
}
