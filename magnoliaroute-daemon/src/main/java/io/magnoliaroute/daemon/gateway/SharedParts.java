package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.history.HistoryKeys;
import io.magnoliaroute.core.gateway.history.SharedPart;
import io.magnoliaroute.core.model.Bytes;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The shared parts of inputs that are known to be kept. Used on one event loop. */
final class SharedParts {

  /** Limit of the parts that are known to be kept; several times the number in use at present. */
  private static final int MAX_PARTS = 256;

  private final TurnHistory history;
  private final TurnLookup lookup;
  private final TurnKeeper keeper;
  private final InstantSource clock;
  private final Map<String, SharedPart> kept =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SharedPart> eldest) {
          return size() > MAX_PARTS;
        }
      };
  private final Set<String> underWay = new HashSet<>();

  SharedParts(TurnHistory history, TurnLookup lookup, TurnKeeper keeper, InstantSource clock) {
    this.history = history;
    this.lookup = lookup;
    this.keeper = keeper;
    this.clock = clock;
  }

  /** Begins to keep a part unless it is kept already; returns its key. */
  String ensureKept(Bytes content, long retentionMs) {
    String key = HistoryKeys.ofPart(content);
    if (isKept(key) || !underWay.add(key)) {
      return key;
    }
    lookup
        .askHomes(List.of(key))
        .onComplete(
            asked -> {
              Optional<SharedPart> found = findFresh(key);
              if (found.isPresent()) {
                underWay.remove(key);
                kept.put(key, found.get());
                return;
              }
              SharedPart part = new SharedPart(key, content, clock.millis(), retentionMs);
              keeper
                  .keep(part)
                  .onSuccess(done -> kept.put(key, part))
                  .onComplete(done -> underWay.remove(key));
            });
    return key;
  }

  private Optional<SharedPart> findFresh(String key) {
    return history
        .findInMemory(key)
        .map(found -> (SharedPart) found)
        .filter(found -> found.isFresh(clock.millis()));
  }

  /** Returns whether a turn that ends now may refer to the part. */
  boolean isKept(String key) {
    SharedPart part = kept.get(key);
    return part != null && part.isFresh(clock.millis());
  }
}
