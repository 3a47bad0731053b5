package io.magnoliaroute.core.gateway.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The requests that wait for a place, by service and in the order in which they are served. Within
 * a rank and phase, workspaces take turns. Not thread-safe.
 *
 * @param <T> what a waiting request is resumed with
 */
public final class WaitingRequests<T> {

  private static final Comparator<Entry<?>> ORDER =
      Comparator.comparing((Entry<?> entry) -> entry.request.rank())
          .thenComparing(entry -> entry.request.isNew())
          .thenComparingLong(entry -> entry.turn)
          .thenComparingLong(entry -> entry.request.arrivedMs())
          .thenComparingLong(entry -> entry.sequence);

  private final Map<String, TreeSet<Entry<T>>> byService = new HashMap<>();
  private long sequence;
  private int size;

  /** A waiting request. */
  public static final class Entry<T> {
    private final AdmissionRequest request;
    private final long waitUntilMs;
    private final T resumption;
    private final long turn;
    private final long sequence;

    private Entry(
        AdmissionRequest request, long waitUntilMs, T resumption, long turn, long sequence) {
      this.request = request;
      this.waitUntilMs = waitUntilMs;
      this.resumption = resumption;
      this.turn = turn;
      this.sequence = sequence;
    }

    /** Returns whether the request may wait no longer. */
    public boolean isDue(long nowMs) {
      return nowMs >= waitUntilMs;
    }

    /** Returns what the request is resumed with. */
    public T resumption() {
      return resumption;
    }
  }

  /**
   * Adds a request and returns its entry, by which it can be removed.
   *
   * @param waitUntilMs until when the request may wait
   */
  public Entry<T> add(AdmissionRequest request, long waitUntilMs, T resumption) {
    TreeSet<Entry<T>> waiting =
        byService.computeIfAbsent(request.service(), any -> new TreeSet<>(ORDER));
    long turn =
        waiting.stream()
            .filter(entry -> entry.request.workspace().equals(request.workspace()))
            .count();
    Entry<T> entry = new Entry<>(request, waitUntilMs, resumption, turn, ++sequence);
    waiting.add(entry);
    size++;
    return entry;
  }

  /** Removes an entry; has no effect if it no longer waits. */
  public void remove(Entry<T> entry) {
    TreeSet<Entry<T>> waiting = byService.get(entry.request.service());
    if (waiting == null || !waiting.remove(entry)) {
      return;
    }
    size--;
    if (waiting.isEmpty()) {
      byService.remove(entry.request.service());
    }
  }

  /** Returns the number of waiting requests of all services. */
  public int size() {
    return size;
  }

  /** Returns the services that requests wait for. */
  public List<String> services() {
    return List.copyOf(byService.keySet());
  }

  /** Returns the requests that wait for a service, in the order in which they are served. */
  public List<Entry<T>> inOrder(String service) {
    TreeSet<Entry<T>> waiting = byService.get(service);
    return waiting == null ? List.of() : new ArrayList<>(waiting);
  }
}
