package io.magnoliaroute.core.gateway.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Judges whether programs that have not started can still end by their target. The time per turn
 * that programs of a route have at their start is the norm; a program with much less has lost too
 * much of its time. Not thread-safe.
 */
final class ProgramPace {

  /**
   * Factor of a program's target over its time on idle endpoints, which bounds how much of its time
   * a program may have lost. Of the factors in use, from 1.4 to 1.8, the lowest.
   */
  static final double TARGET_FACTOR = 1.4;

  /** Weight of the newest program; about the last twenty programs define the norm. */
  static final double SMOOTHING_FACTOR = 0.1;

  /** Number of programs from which on the norm counts: fewer may all be unusual. */
  static final int MIN_PROGRAMS = 5;

  /** Maximum number of routes; several times those of a large deployment. */
  static final int MAX_ROUTES = 1_024;

  private final Map<String, Norm> norms =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Norm> eldest) {
          return size() > MAX_ROUTES;
        }
      };

  private record Norm(double perTurnMs, int programs) {

    private Norm with(double newestMs) {
      double weight = Math.max(SMOOTHING_FACTOR, 1.0 / (programs + 1));
      return new Norm(
          perTurnMs + weight * (newestMs - perTurnMs), Math.min(MIN_PROGRAMS, programs + 1));
    }
  }

  /**
   * Records the first turn of a program, which counts toward the norm. Called only while nothing is
   * refused, since a first turn that was refused and sent again has less time.
   */
  void recordStart(AdmissionRequest request, long nowMs) {
    OptionalLong perTurnMs = request.leftPerTurnMs(nowMs);
    if (perTurnMs.isPresent()) {
      Norm norm = norms.getOrDefault(request.route(), new Norm(0, 0));
      norms.put(request.route(), norm.with((double) perTurnMs.getAsLong()));
    }
  }

  /** Returns whether the program of a first turn can still end by its target. */
  boolean isInTime(AdmissionRequest request, long nowMs) {
    OptionalLong perTurnMs = request.leftPerTurnMs(nowMs);
    Norm norm = norms.get(request.route());
    return perTurnMs.isEmpty()
        || norm == null
        || norm.programs < MIN_PROGRAMS
        || perTurnMs.getAsLong() * TARGET_FACTOR >= norm.perTurnMs;
  }
}
