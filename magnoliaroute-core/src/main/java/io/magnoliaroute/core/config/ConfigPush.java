package io.magnoliaroute.core.config;

import java.util.List;

/**
 * Gives a peer the branches newer than a version, oldest version first.
 *
 * @param newerThanVersion the version that was asked for
 * @param throughVersion the sender holds every branch version up to this one, and the entries
 *     include those after {@code newerThanVersion}
 * @param entries the branches
 * @param more whether the sender has more; pull again from {@code throughVersion}
 */
public record ConfigPush(
    long newerThanVersion, long throughVersion, List<BranchEntry> entries, boolean more) {

  /** Copies the entries. */
  public ConfigPush {
    entries = List.copyOf(entries);
  }
}
