package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Scheduling hints that this VM keeps per program: the endpoints that cache the program's prefix
 * and the service units that its program tree has received. Losing an entry costs latency only.
 */
public final class ProgramHints {

  private static final int MAX_PROGRAMS = 20_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<ProgramId, Map<EndpointId, Integer>> cachedTokensByProgram = bounded();
  private final Map<ProgramId, Long> serviceUnitsByRoot = bounded();

  Map<EndpointId, Integer> cachedTokens(ProgramId program) {
    lock.lock();
    try {
      return cachedTokensByProgram.getOrDefault(program, Map.of());
    } finally {
      lock.unlock();
    }
  }

  /** Returns the endpoints that are expected to cache the program's prefix. */
  public Set<EndpointId> cachedEndpoints(ProgramId program) {
    return Set.copyOf(cachedTokens(program).keySet());
  }

  void recordCachedPrefix(ProgramId program, EndpointId endpoint, int tokens) {
    lock.lock();
    try {
      cachedTokensByProgram.put(program, Map.of(endpoint, tokens));
    } finally {
      lock.unlock();
    }
  }

  long serviceUnits(ProgramId root) {
    lock.lock();
    try {
      return serviceUnitsByRoot.getOrDefault(root, 0L);
    } finally {
      lock.unlock();
    }
  }

  void addServiceUnits(ProgramId root, long units) {
    lock.lock();
    try {
      serviceUnitsByRoot.merge(root, units, Long::sum);
    } finally {
      lock.unlock();
    }
  }

  void remove(ProgramId program) {
    lock.lock();
    try {
      cachedTokensByProgram.remove(program);
      serviceUnitsByRoot.remove(program);
    } finally {
      lock.unlock();
    }
  }

  private static <V> Map<ProgramId, V> bounded() {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<ProgramId, V> eldest) {
        return size() > MAX_PROGRAMS;
      }
    };
  }
}
