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
 * The outcomes of earlier publications, derived from snapshots.
 *
 * <p>A reader that starts after offset 0 cannot always decide on a publication, because it may lack
 * the base version or a branch that the content refers to. The history of a branch in a snapshot
 * lists each version accepted from its oldest version through the offset that the snapshot
 * reflects.
 */
final class PastDecisions {

  private final Map<BranchName, List<Range>> ranges = new HashMap<>();

  private record Range(long fromOffset, long throughOffset, Set<Long> acceptedOffsets) {
    boolean covers(long offset) {
      return offset >= fromOffset && offset <= throughOffset;
    }
  }

  /** Adds the history of an entry that reflects all records of the branch through the offset. */
  void addHistory(BranchEntry entry, long asOfOffset) {
    Set<Long> accepted =
        entry.history().stream().map(BranchVersion::version).collect(Collectors.toSet());
    long oldest = entry.history().get(entry.history().size() - 1).version();
    ranges
        .computeIfAbsent(entry.branch(), branch -> new ArrayList<>())
        .add(new Range(oldest, asOfOffset, accepted));
  }

  /** Returns whether the publication at the offset was accepted, or empty if this is unknown. */
  Optional<Boolean> wasAccepted(BranchName branch, long offset) {
    return ranges.getOrDefault(branch, List.of()).stream()
        .filter(range -> range.covers(offset))
        .findFirst()
        .map(range -> range.acceptedOffsets().contains(offset));
  }

  void clear() {
    ranges.clear();
  }
}
