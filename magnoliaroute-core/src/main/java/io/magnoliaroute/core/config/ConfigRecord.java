package io.magnoliaroute.core.config;

import io.magnoliaroute.core.settings.BranchName;
import java.util.List;
import java.util.Optional;

/** A record of the {@code config} stream. */
public sealed interface ConfigRecord {

  /** Returns the identity of the record, equal for each append of the same record. */
  String recordId();

  /**
   * Replaces, makes or deletes one branch.
   *
   * @param recordId the identity of the record
   * @param branch the branch
   * @param baseVersion the version that the author saw, {@link ConfigState#ABSENT_VERSION} for a
   *     branch that never existed
   * @param content the YAML, or nothing to delete the branch
   * @param author the operator
   * @param timeMs when it was published
   */
  record Published(
      String recordId,
      BranchName branch,
      long baseVersion,
      Optional<String> content,
      String author,
      long timeMs)
      implements ConfigRecord {}

  /**
   * Carries branches forward, so that they outlive the retention of the log.
   *
   * @param recordId the identity of the record
   * @param timeMs when it was made
   * @param asOfOffset the offset of the last record of the stream that the entries include
   * @param entries the branches with the offsets at which they took effect
   */
  record Snapshot(String recordId, long timeMs, long asOfOffset, List<BranchEntry> entries)
      implements ConfigRecord {

    /** Copies the entries. */
    public Snapshot {
      entries = List.copyOf(entries);
    }
  }
}
