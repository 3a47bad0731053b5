package io.magnoliaroute.core.program;

import io.magnoliaroute.core.model.ProgramId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Finds the programs of one partition that have been idle for longer than their timeout, so that
 * the partition's owner can end them.
 *
 * <p>Idle time is measured from when this owner first observed the program's latest change. A new
 * owner starts the measurement again, which can only delay the end of a program. Not thread-safe.
 */
public final class IdlePrograms {

  private record ObservedChange(long changedAtOffset, long observedAtMs) {}

  private final Map<ProgramId, ObservedChange> observedChanges = new HashMap<>();

  /**
   * Returns the programs whose idle timeout has passed.
   *
   * @param live the live programs of the partition
   * @param busy whether a call of the program is running
   * @param idleTimeoutMs the idle timeout of a program, 0 for none
   */
  public List<ProgramView> findIdle(
      List<ProgramView> live,
      Predicate<ProgramId> busy,
      ToLongFunction<ProgramView> idleTimeoutMs,
      long nowMs) {
    Objects.requireNonNull(live, "live");
    Set<ProgramId> ids = new HashSet<>();
    Set<ProgramId> parents = new HashSet<>();
    for (ProgramView program : live) {
      ids.add(program.id());
      program.parent().ifPresent(parents::add);
    }
    observedChanges.keySet().retainAll(ids);
    List<ProgramView> idle = new ArrayList<>();
    for (ProgramView program : live) {
      // A program with live sub-agents is in use, because it waits for their results.
      boolean inUse = busy.test(program.id()) || parents.contains(program.id());
      long timeoutMs = idleTimeoutMs.applyAsLong(program);
      if (idleMs(program, inUse, nowMs) >= timeoutMs && timeoutMs > 0) {
        idle.add(program);
      }
    }
    return idle;
  }

  private long idleMs(ProgramView program, boolean inUse, long nowMs) {
    ObservedChange previous = observedChanges.get(program.id());
    if (inUse || previous == null || previous.changedAtOffset() != program.changedAtOffset()) {
      observedChanges.put(program.id(), new ObservedChange(program.changedAtOffset(), nowMs));
      return 0;
    }
    return nowMs - previous.observedAtMs();
  }
}
