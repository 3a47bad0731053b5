package io.magnoliaroute.core.config;

import io.magnoliaroute.core.settings.BranchName;
import java.util.List;
import java.util.Optional;

/**
 * The latest version of a branch, as snapshots and peers carry it.
 *
 * @param branch the branch
 * @param content the YAML, or nothing if the branch was deleted
 * @param history the last versions, newest first; the first is the version of the content
 */
public record BranchEntry(
    BranchName branch, Optional<String> content, List<BranchVersion> history) {

  /** The versions that a history keeps; older ones are forgotten. */
  public static final int HISTORY_VERSIONS = 8;

  /** Rejects an empty history and copies it. */
  public BranchEntry {
    history = List.copyOf(history);
    if (history.isEmpty()) {
      throw new IllegalArgumentException("history must not be empty for branch " + branch);
    }
  }

  /** Returns the offset at which the content took effect. */
  public long version() {
    return history.get(0).version();
  }

  /** Returns whether the branch was deleted. */
  public boolean deleted() {
    return content.isEmpty();
  }

  /** Returns the approximate size of the entry in a record. */
  public int sizeBytes() {
    return content.map(String::length).orElse(0) + branch.value().length() + 64 * history.size();
  }
}
