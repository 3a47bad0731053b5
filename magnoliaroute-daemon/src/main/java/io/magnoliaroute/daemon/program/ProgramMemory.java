package io.magnoliaroute.daemon.program;

import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.ProgramId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;

/**
 * What this VM remembers of programs for better decisions; losing it costs latency only.
 *
 * <p>It holds where a program's prefix is cached and the service that each program tree has had.
 */
public final class ProgramMemory {

  private static final int MAX_PROGRAMS = 20_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<ProgramId, Map<EndpointId, Integer>> cached = bounded();
  private final Map<ProgramId, Long> serviceUnits = bounded();

  Map<EndpointId, Integer> cachedTokens(ProgramId program) {
    lock.lock();
    try {
      return cached.getOrDefault(program, Map.of());
    } finally {
      lock.unlock();
    }
  }

  /** Returns the endpoints that are expected to hold the program's prefix. */
  public Set<EndpointId> cachedEndpoints(ProgramId program) {
    return Set.copyOf(cachedTokens(program).keySet());
  }

  void noteCached(ProgramId program, EndpointId endpoint, int tokens) {
    lock.lock();
    try {
      cached.put(program, Map.of(endpoint, tokens));
    } finally {
      lock.unlock();
    }
  }

  long serviceUnits(ProgramId root) {
    lock.lock();
    try {
      return serviceUnits.getOrDefault(root, 0L);
    } finally {
      lock.unlock();
    }
  }

  void addService(ProgramId root, long units) {
    lock.lock();
    try {
      serviceUnits.merge(root, units, Long::sum);
    } finally {
      lock.unlock();
    }
  }

  void forget(ProgramId program) {
    lock.lock();
    try {
      cached.remove(program);
      serviceUnits.remove(program);
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
