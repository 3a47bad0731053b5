package io.magnoliaroute.core.schedule;

import io.magnoliaroute.core.model.CallId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Grants in use by grant id, in the order of their latest observation. */
final class RunningCalls {

  private final Map<Long, RunningCall> byGrant = new LinkedHashMap<>();
  private final Map<CallId, Integer> grantCounts = new HashMap<>();

  void add(RunningCall running) {
    byGrant.put(running.grant.grantId(), running);
    grantCounts.merge(running.grant.call(), 1, Integer::sum);
  }

  /**
   * Returns the running call of the grant, or null if the grant is not in use or belongs to another
   * call.
   */
  RunningCall find(CallId id, long grantId) {
    RunningCall running = byGrant.get(grantId);
    return running != null && running.grant.call().equals(id) ? running : null;
  }

  void remove(RunningCall running) {
    byGrant.remove(running.grant.grantId());
    grantCounts.computeIfPresent(
        running.grant.call(), (id, grants) -> grants == 1 ? null : grants - 1);
  }

  boolean contains(CallId id) {
    return grantCounts.containsKey(id);
  }

  boolean isHedged(CallId id) {
    return grantCounts.getOrDefault(id, 0) > 1;
  }

  void recordObservation(RunningCall running, long nowMs) {
    running.lastObservedMs = Math.max(running.lastObservedMs, nowMs);
    byGrant.remove(running.grant.grantId());
    byGrant.put(running.grant.grantId(), running);
  }

  /** Returns the grants without an observation for at least the given time. */
  List<RunningCall> findExpired(long expiryMs, long nowMs) {
    List<RunningCall> expired = new ArrayList<>();
    for (RunningCall running : byGrant.values()) {
      if (nowMs - running.lastObservedMs < expiryMs) {
        break;
      }
      expired.add(running);
    }
    return expired;
  }

  Collection<RunningCall> all() {
    return byGrant.values();
  }

  int size() {
    return byGrant.size();
  }
}
