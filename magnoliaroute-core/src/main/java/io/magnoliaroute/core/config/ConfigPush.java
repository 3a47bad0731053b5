package io.magnoliaroute.core.config;

import java.util.List;

/**
 * The response to a {@link ConfigPull}: the branches newer than a version, oldest version first.
 *
 * @param newerThanVersion the version of the pull
 * @param throughVersion the version up to which the sender has every branch and up to which the
 *     entries are complete, starting after {@code newerThanVersion}
 * @param entries the branches
 * @param hasMore whether the sender has further branches; the next pull starts at {@code
 *     throughVersion}
 */
public record ConfigPush(
    long newerThanVersion, long throughVersion, List<BranchEntry> entries, boolean hasMore) {

  /** Copies the entries. */
  public ConfigPush {
    entries = List.copyOf(entries);
  }
}
