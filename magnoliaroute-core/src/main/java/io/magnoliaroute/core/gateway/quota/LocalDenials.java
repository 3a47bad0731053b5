package io.magnoliaroute.core.gateway.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/**
 * The denials of one VM: for some time after a denial, it denies further requests of the workspace
 * itself, so that a workspace far over its quota does not overload the issuer. Not thread-safe;
 * confined to one event loop.
 */
public final class LocalDenials {

  /** Bounds of the time for which a VM denies by itself. */
  private static final long MIN_DENIAL_MS = 20;

  private static final long MAX_DENIAL_MS = 100;

  /** Bounds of the delay after which a client should retry, beyond the next permit. */
  private static final long MIN_RETRY_MS = 100;

  private static final long RETRY_SPREAD_MS = 900;

  /** Limit of the workspaces whose denials are kept. */
  private static final int MAX_WORKSPACES = 4_096;

  private final RandomGenerator random;
  private final Map<String, Denials> denials = new HashMap<>();

  /** The denials of one workspace since the last report. */
  public static final class Denials {
    private long untilMs;
    private long deniedByIssuer;
    private long deniedLocally;

    /** Returns the number of requests that the issuer denied. */
    public long deniedByIssuer() {
      return deniedByIssuer;
    }

    /** Returns the number of requests that this VM denied without asking the issuer. */
    public long deniedLocally() {
      return deniedLocally;
    }
  }

  /**
   * Creates an empty set of denials.
   *
   * @param random the source of the spread of retries
   */
  public LocalDenials(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the time for which this VM still denies requests by itself; 0 if it asks the issuer.
   */
  public long remainingMs(String workspace, long nowMs) {
    Denials known = denials.get(workspace);
    return known == null ? 0 : Math.max(0, known.untilMs - nowMs);
  }

  /** Counts a request that this VM denies without asking the issuer. */
  public void recordLocal(String workspace) {
    denials.get(workspace).deniedLocally++;
  }

  /**
   * Records a denial of the issuer.
   *
   * @param delayMs the delay until the next permit
   */
  public void record(String workspace, long delayMs, long nowMs) {
    if (denials.size() >= MAX_WORKSPACES && !denials.containsKey(workspace)) {
      return;
    }
    Denials known = denials.computeIfAbsent(workspace, name -> new Denials());
    known.deniedByIssuer++;
    known.untilMs = nowMs + Math.min(MAX_DENIAL_MS, Math.max(MIN_DENIAL_MS, delayMs));
  }

  /** Returns after which delay a denied client should retry; spread, so that not all come back. */
  public long retryAfterMs(long delayMs) {
    return Math.max(MIN_RETRY_MS, delayMs) + random.nextLong(RETRY_SPREAD_MS);
  }

  /** Reports and clears the counts of all workspaces with denials. */
  public void drain(long nowMs, BiConsumer<String, Denials> report) {
    denials.forEach(
        (workspace, each) -> {
          if (each.deniedByIssuer + each.deniedLocally > 0) {
            report.accept(workspace, each);
          }
          each.deniedByIssuer = 0;
          each.deniedLocally = 0;
        });
    denials.values().removeIf(each -> each.untilMs <= nowMs);
  }
}
