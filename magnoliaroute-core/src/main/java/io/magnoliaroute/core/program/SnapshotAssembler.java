package io.magnoliaroute.core.program;

import io.magnoliaroute.core.log.WriterId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Assembles the newest snapshot from its parts as they are read.
 *
 * <p>The parts of a snapshot have the same writer and cover the same offset. Parts of an older
 * snapshot are discarded, so that the parts of at most one snapshot are held.
 */
final class SnapshotAssembler {

  /** A snapshot of which all parts were read. */
  record CompleteSnapshot(long asOfOffset, long writtenAtMs, List<SnapshotEntry> entries) {

    /** Returns whether every turn and action belongs to a program and no turn is missing. */
    boolean isConsistent() {
      Map<ProgramId, Integer> missingTurns = new HashMap<>();
      for (SnapshotEntry entry : entries) {
        if (entry instanceof SnapshotEntry.ProgramEntry program) {
          missingTurns.put(program.start().program(), program.turns());
        } else if (entry instanceof SnapshotEntry.TurnEntry turn) {
          missingTurns.computeIfPresent(turn.program(), (id, missing) -> missing - 1);
        }
      }
      return missingTurns.values().stream().allMatch(missing -> missing == 0)
          && entries.stream().allMatch(entry -> hasProgram(entry, missingTurns.keySet()));
    }

    private static boolean hasProgram(SnapshotEntry entry, Set<ProgramId> programs) {
      if (entry instanceof SnapshotEntry.TurnEntry turn) {
        return programs.contains(turn.program());
      }
      if (entry instanceof SnapshotEntry.ActionEntry action) {
        return programs.contains(action.intent().program());
      }
      return true;
    }
  }

  private WriterId writer;
  private long asOfOffset = -1;
  private List<List<SnapshotEntry>> parts = List.of();
  private int missingParts;

  /** Adds a part and returns the snapshot if this part completes it. */
  Optional<CompleteSnapshot> add(ProgramRecord.Snapshot part) {
    if (part.asOfOffset() < asOfOffset) {
      return Optional.empty();
    }
    boolean newSnapshot =
        part.asOfOffset() > asOfOffset
            || !part.id().writer().equals(writer)
            || part.parts() != parts.size();
    if (newSnapshot) {
      startSnapshot(part);
    }
    if (missingParts == 0 || parts.get(part.part()) != null) {
      return Optional.empty();
    }
    parts.set(part.part(), part.entries());
    missingParts--;
    if (missingParts > 0) {
      return Optional.empty();
    }
    List<SnapshotEntry> entries = parts.stream().flatMap(List::stream).toList();
    clear();
    return Optional.of(new CompleteSnapshot(part.asOfOffset(), part.writtenAtMs(), entries));
  }

  void clear() {
    writer = null;
    parts = List.of();
    missingParts = 0;
  }

  private void startSnapshot(ProgramRecord.Snapshot part) {
    writer = part.id().writer();
    asOfOffset = part.asOfOffset();
    missingParts = part.parts();
    parts = new ArrayList<>();
    for (int i = 0; i < part.parts(); i++) {
      parts.add(null);
    }
  }
}
