package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.ServiceVersion;
import io.magnoliaroute.core.gateway.ServiceVersions;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreClient.KeyValue;
import io.magnoliaroute.platform.StoreRecord;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Keeps the software versions in service in the store, so that a VM that starts knows a version
 * whose last endpoint has just been removed. Used on one event loop.
 */
final class ServiceVersionLog {

  /** The topic of the versions; the newest record of each key is retained. */
  static final String TOPIC = StoreClient.KEYED_PREFIX + "versions";

  private static final long LIST_RETRY_MS = 250;

  private final Vertx vertx;
  private final StoreClient store;
  private final RoutingState routingState;
  private final ServiceVersions versions;
  private final InstantSource clock;
  private final DecisionLog log;
  private Consumer<String> listener = service -> {};
  private long observedRevision = -1;
  private boolean storing;

  ServiceVersionLog(
      Vertx vertx,
      StoreClient store,
      RoutingState routingState,
      ServiceVersions versions,
      InstantSource clock,
      DecisionLog log) {
    this.vertx = vertx;
    this.store = store;
    this.routingState = routingState;
    this.versions = versions;
    this.clock = clock;
    this.log = log;
  }

  /** Sets the listener that receives each service that has got a new version. */
  void setListener(Consumer<String> newListener) {
    listener = newListener;
  }

  /**
   * Handles a listing of the endpoints. It leaves out those that joined and left since the last
   * record that was read, so the stored versions are read too.
   */
  void onEndpointsListed() {
    observe();
    versions.invalidateStored();
    load();
  }

  // Repeats the call until it succeeds.
  private void load() {
    store
        .listNewest(TOPIC, 0)
        .onSuccess(this::applyListing)
        .onFailure(e -> vertx.setTimer(LIST_RETRY_MS, fired -> load()));
  }

  private void applyListing(StoreClient.Listing listing) {
    List<ServiceVersion> stored = new ArrayList<>();
    for (StoreRecord record : listing.records()) {
      try {
        if (record.value().isPresent()) {
          stored.add(ServiceVersion.decode(record.key(), record.value().get()));
        }
      } catch (MalformedRecordException e) {
        log.line("record_malformed")
            .put("topic", TOPIC)
            .put("problem", String.valueOf(e.getMessage()))
            .write();
      }
    }
    versions.applyStored(stored, clock.millis());
  }

  /** Records the versions of the endpoints if the list of endpoints has changed. */
  void observeChanges() {
    if (routingState.endpoints().revision() != observedRevision) {
      observe();
    }
  }

  private void observe() {
    observedRevision = routingState.endpoints().revision();
    observe(routingState.endpoints().entries());
  }

  /**
   * Records the version of an entry that has been read. The endpoint may have begun streams and
   * left again before this VM read of either.
   */
  void observeEntry(EndpointEntry entry) {
    observe(List.of(entry));
  }

  private void observe(Collection<EndpointEntry> entries) {
    Set<String> changed = versions.observe(entries, clock.millis());
    for (String service : changed) {
      log.line("service_version_added")
          .put("service", service)
          .put("only_version", versions.onlyVersion(service).orElse(""))
          .write();
      listener.accept(service);
    }
  }

  /** Stores new versions and removes the ones that no stream can belong to any more. */
  void maintain() {
    observe();
    List<KeyValue> records = new ArrayList<>();
    for (ServiceVersion expired : versions.removeExpired(clock.millis())) {
      records.add(new KeyValue(expired.key(), Bytes.copyOf(new byte[0])));
    }
    List<ServiceVersion> added = versions.unstored();
    added.forEach(version -> records.add(new KeyValue(version.key(), version.encode())));
    if (records.isEmpty() || storing) {
      return;
    }
    storing = true;
    store
        .append(TOPIC, 0, Optional.empty(), records)
        .onSuccess(end -> added.forEach(versions::markStored))
        .onComplete(done -> storing = false);
  }
}
