package io.magnoliaroute.core.config;

import io.magnoliaroute.core.settings.BranchName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What snapshots say about earlier publications.
 *
 * <p>A reader without the whole past cannot always decide on a publication, because it may lack the
 * base or a branch that the content refers to. The history of a carried branch names each version
 * accepted between its oldest version and the offset that the snapshot includes.
 */
final class PastDecisions {

  private final Map<BranchName, List<Range>> ranges = new HashMap<>();

  private record Range(long fromOffset, long throughOffset, Set<Long> accepted) {
    boolean covers(long offset) {
      return offset >= fromOffset && offset <= throughOffset;
    }
  }

  /** Learns from an entry that includes all records of the branch up to the offset. */
  void learn(BranchEntry entry, long asOfOffset) {
    Set<Long> accepted =
        entry.history().stream().map(BranchVersion::version).collect(Collectors.toSet());
    long oldest = entry.history().get(entry.history().size() - 1).version();
    ranges
        .computeIfAbsent(entry.branch(), branch -> new ArrayList<>())
        .add(new Range(oldest, asOfOffset, accepted));
  }

  /** Returns whether the publication at the offset was accepted, if that is known. */
  Optional<Boolean> accepted(BranchName branch, long offset) {
    return ranges.getOrDefault(branch, List.of()).stream()
        .filter(range -> range.covers(offset))
        .findFirst()
        .map(range -> range.accepted().contains(offset));
  }

  void clear() {
    ranges.clear();
  }
}
