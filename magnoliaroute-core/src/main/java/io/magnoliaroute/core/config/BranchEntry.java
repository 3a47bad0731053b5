package io.magnoliaroute.core.config;

import io.magnoliaroute.core.settings.BranchName;
import java.util.List;
import java.util.Optional;

/**
 * The latest version of a branch, as stored in snapshots and exchanged between peers.
 *
 * @param branch the branch
 * @param content the YAML, or empty if the branch is deleted
 * @param history the most recent versions, newest first; the first is the version of the content
 */
public record BranchEntry(
    BranchName branch, Optional<String> content, List<BranchVersion> history) {

  /** The maximum number of versions in a history; older versions are dropped. */
  public static final int MAX_HISTORY_VERSIONS = 8;

  /** Copies the history and rejects an empty one. */
  public BranchEntry {
    history = List.copyOf(history);
    if (history.isEmpty()) {
      throw new IllegalArgumentException("history must not be empty for branch " + branch);
    }
  }

  /** Returns the log offset at which the content took effect. */
  public long version() {
    return history.get(0).version();
  }

  /** Returns whether the branch is deleted. */
  public boolean isDeleted() {
    return content.isEmpty();
  }

  /** Returns the approximate size of the entry in a record. */
  public int sizeBytes() {
    return content.map(String::length).orElse(0) + branch.value().length() + 64 * history.size();
  }
}
