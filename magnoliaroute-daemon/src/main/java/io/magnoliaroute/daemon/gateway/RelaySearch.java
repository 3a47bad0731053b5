package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Searches a VM through which an endpoint is reachable. A VM that is asked refuses at once if it
 * does not reach the endpoint itself. Used on one event loop.
 */
final class RelaySearch {

  /** VMs asked at the same time, since one that has just lost its own paths replies late. */
  private static final int CONCURRENCY = 2;

  /** Bounds the search for an endpoint that no VM reaches; the next search asks other VMs. */
  private static final int MAX_CANDIDATES = 6;

  private final Function<VmEntry, Future<Boolean>> prober;
  private final Deque<VmEntry> candidates = new ArrayDeque<>();
  private final Promise<Optional<VmEntry>> result = Promise.promise();
  private int running;

  /**
   * Creates a search.
   *
   * @param candidates the VMs to try, the best one first
   * @param prober tries to connect through a VM and returns whether it succeeded
   */
  RelaySearch(List<VmEntry> candidates, Function<VmEntry, Future<Boolean>> prober) {
    this.prober = prober;
    candidates.stream().limit(MAX_CANDIDATES).forEach(this.candidates::add);
  }

  /** Starts the search; completes with the first VM that reaches the endpoint, if any does. */
  Future<Optional<VmEntry>> start() {
    tryNext();
    return result.future();
  }

  private void tryNext() {
    while (running < CONCURRENCY && !candidates.isEmpty()) {
      VmEntry candidate = candidates.poll();
      running++;
      prober.apply(candidate).onSuccess(reached -> onResult(candidate, reached));
    }
    if (running == 0) {
      result.tryComplete(Optional.empty());
    }
  }

  private void onResult(VmEntry candidate, boolean reached) {
    running--;
    if (reached) {
      result.tryComplete(Optional.of(candidate));
    }
    if (!result.future().isComplete()) {
      tryNext();
    }
  }
}
