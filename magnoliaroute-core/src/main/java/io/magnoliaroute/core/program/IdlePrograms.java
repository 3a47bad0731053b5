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
 * Finds programs of one partition that no caller uses any more, so that their owner ends them.
 *
 * <p>The time counts from when this owner first saw the program unchanged; a new owner starts anew,
 * which can only make a program live longer. Not safe for use by several threads.
 */
public final class IdlePrograms {

  private record Seen(long changedAtOffset, long sinceMs) {}

  private final Map<ProgramId, Seen> seen = new HashMap<>();

  /**
   * Returns the programs whose idle time has passed.
   *
   * @param live the live programs of the partition
   * @param busy whether a call of the program runs now
   * @param idleTimeoutMs the idle time of a program, 0 for none
   */
  public List<ProgramView> idle(
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
    seen.keySet().retainAll(ids);
    List<ProgramView> idle = new ArrayList<>();
    for (ProgramView program : live) {
      // A program that waits for its sub-agents is in use.
      boolean used = busy.test(program.id()) || parents.contains(program.id());
      long timeoutMs = idleTimeoutMs.applyAsLong(program);
      if (idleMs(program, used, nowMs) >= timeoutMs && timeoutMs > 0) {
        idle.add(program);
      }
    }
    return idle;
  }

  private long idleMs(ProgramView program, boolean used, long nowMs) {
    Seen before = seen.get(program.id());
    if (used || before == null || before.changedAtOffset() != program.changedAtOffset()) {
      seen.put(program.id(), new Seen(program.changedAtOffset(), nowMs));
      return 0;
    }
    return nowMs - before.sinceMs();
  }
}
