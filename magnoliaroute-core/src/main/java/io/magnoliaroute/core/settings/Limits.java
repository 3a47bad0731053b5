package io.magnoliaroute.core.settings;

/**
 * The limits that apply to every VM, the branch {@code limits}.
 *
 * @param drainTimeoutMs the maximum time that a graceful shutdown waits, in milliseconds
 * @param unloggedBytes the maximum history that one VM may hold while the log is unavailable
 * @param unloggedTurns the maximum number of turns of one program that may be unlogged
 * @param frameBytes the maximum length of a frame between VMs
 * @param bodyBytes the maximum length of a request body
 * @param headerBytes the maximum length of a request header
 * @param concurrentStreams the maximum number of streams that one VM serves concurrently
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

  private static final int BYTES_PER_MIB = 1024 * 1024;

  /** Returns the limits that apply where the branch sets no value. */
  public static Limits defaults() {
    return new Limits(
        30_000, 16L * BYTES_PER_MIB, 4, 4 * BYTES_PER_MIB, 2 * BYTES_PER_MIB, 16 * 1024, 2_000);
  }
}
