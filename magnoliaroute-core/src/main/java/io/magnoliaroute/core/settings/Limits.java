package io.magnoliaroute.core.settings;

/**
 * Limits of every VM, the branch {@code limits}.
 *
 * @param drainTimeoutMs the longest wait of a planned stop
 * @param unloggedBytes history that one VM may hold while the log is down
 * @param unloggedTurns turns of one program that may be unlogged
 * @param frameBytes the longest frame between VMs
 * @param bodyBytes the longest request body
 * @param headerBytes the longest request header
 * @param concurrentStreams streams that one VM serves at the same time
 */
public record Limits(
    long drainTimeoutMs,
    long unloggedBytes,
    int unloggedTurns,
    int frameBytes,
    int bodyBytes,
    int headerBytes,
    int concurrentStreams)
    implements Branch {

  private static final int MIB_BYTES = 1024 * 1024;

  /** Returns the limits in force where no branch sets them. */
  public static Limits defaults() {
    return new Limits(30_000, 16L * MIB_BYTES, 4, 4 * MIB_BYTES, 2 * MIB_BYTES, 16 * 1024, 2_000);
  }
}
