package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.platform.EndpointEntryDecoder;
import io.magnoliaroute.platform.PlatformFormatException;
import io.magnoliaroute.platform.RoutingTableDecoder;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreRecord;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Applies records from the store and state from peers to the {@link RoutingState} of this VM. */
final class RoutingStateUpdater {

  private final RoutingState routingState;
  private final StoreHealth storeHealth;
  private final InstantSource clock;
  private final DecisionLog log;
  private Consumer<EndpointEntry> entryListener = entry -> {};
  private Runnable listingListener = () -> {};

  RoutingStateUpdater(
      RoutingState routingState, StoreHealth storeHealth, InstantSource clock, DecisionLog log) {
    this.routingState = routingState;
    this.storeHealth = storeHealth;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Sets the listener that receives each entry read from the store, also if a later record of the
   * same page removes it.
   */
  void setEntryListener(Consumer<EndpointEntry> listener) {
    entryListener = listener;
  }

  /** Sets the listener of listings, which leave out endpoints that joined and left before. */
  void setListingListener(Runnable listener) {
    listingListener = listener;
  }

  /** Returns the listener for the topic of the operator's configuration. */
  StoreTail.Listener configurationListener() {
    return new StoreTail.Listener() {
      @Override
      public void onListing(StoreClient.Listing listing) {
        listing.records().forEach(RoutingStateUpdater.this::applyConfigurationRecord);
      }

      @Override
      public void onRecords(StoreClient.Page page) {
        page.malformed().forEach(problem -> logMalformed(StoreClient.OPERATOR_TOPIC, problem));
        page.records().forEach(RoutingStateUpdater.this::applyConfigurationRecord);
      }
    };
  }

  /** Returns the listener for the topic of the endpoints' entries. */
  StoreTail.Listener endpointListener() {
    return new StoreTail.Listener() {
      @Override
      public void onListing(StoreClient.Listing listing) {
        routingState.recordEndpointsOffset(listing.end());
        applyEndpointListing(listing.records());
        listingListener.run();
      }

      @Override
      public void onRecords(StoreClient.Page page) {
        page.malformed().forEach(problem -> logMalformed(StoreClient.ENDPOINT_TOPIC, problem));
        routingState.recordEndpointsOffset(page.nextOffset());
        page.records().forEach(RoutingStateUpdater.this::applyEndpoint);
      }
    };
  }

  /** Decodes a configuration from the store or from a peer and applies it if it is newer. */
  void applyConfiguration(byte[] value, String source) {
    try {
      RoutingTable table = RoutingTableDecoder.decode(value);
      if (routingState.applyTableIfNewer(table, RoutingTableDecoder.withKeyHashes(value))) {
        log.line("config_applied").put("version", table.version()).put("source", source).write();
      }
    } catch (PlatformFormatException | RuntimeException e) {
      logMalformed(StoreClient.OPERATOR_TOPIC, String.valueOf(e.getMessage()));
    }
  }

  /**
   * Applies the endpoints that a peer reported, unless this VM's view is at least as recent: an
   * older view still has endpoints that have been removed since.
   *
   * @param offset the offset in the store up to which the peer's view includes the entries
   */
  void applyPeerEndpoints(List<EndpointEntry> entries, long offset) {
    long ownOffset = routingState.endpointsOffset();
    if (entries.isEmpty() || offset <= ownOffset) {
      return;
    }
    long before = routingState.endpoints().revision();
    routingState.endpoints().applyListing(entries, clock.millis(), clock.millis());
    routingState.recordEndpointsOffset(offset);
    routingState.markEndpointsKnown();
    if (routingState.endpoints().revision() != before) {
      log.line("endpoints_from_peer")
          .put("entries", entries.size())
          .put("offset", offset)
          .put("own_offset", ownOffset)
          .write();
    }
  }

  private void applyConfigurationRecord(StoreRecord record) {
    if (record.key().equals(StoreClient.CONFIG_KEY) && record.value().isPresent()) {
      applyConfiguration(record.value().get().toArray(), "store");
    }
  }

  private void applyEndpointListing(List<StoreRecord> records) {
    List<EndpointEntry> listed = new ArrayList<>();
    for (StoreRecord record : records) {
      if (record.value().isPresent()) {
        decode(record).ifPresent(listed::add);
      }
    }
    routingState
        .endpoints()
        .applyListing(listed, storeHealth.expiredEntriesUsableUntilMs(), clock.millis());
    routingState.markEndpointsKnown();
    log.line("endpoints_listed").put("entries", listed.size()).write();
  }

  private void applyEndpoint(StoreRecord record) {
    if (record.value().isEmpty()) {
      applyRemoval(record.key(), record.offset());
      return;
    }
    Optional<EndpointEntry> entry = decode(record);
    entry.ifPresent(entryListener);
    if (entry.isPresent() && routingState.endpoints().apply(entry.get())) {
      log.line("endpoint_changed")
          .put("endpoint", record.key())
          .put("service", entry.get().service())
          .put("draining", entry.get().draining())
          .put("offset", record.offset())
          .write();
    }
  }

  private void applyRemoval(String key, long offset) {
    long nowMs = clock.millis();
    long usableUntilMs = storeHealth.expiredEntriesUsableUntilMs();
    try {
      if (routingState.endpoints().remove(new EndpointId(key), usableUntilMs, nowMs)) {
        log.line("endpoint_removed")
            .put("endpoint", key)
            .put("after_outage", usableUntilMs > nowMs)
            .put("usable_ms", Math.max(0, usableUntilMs - nowMs))
            .put("offset", offset)
            .write();
      }
    } catch (IllegalArgumentException e) {
      logMalformed(StoreClient.ENDPOINT_TOPIC, e.getMessage());
    }
  }

  private Optional<EndpointEntry> decode(StoreRecord record) {
    try {
      return Optional.of(
          EndpointEntryDecoder.decode(record.key(), record.value().orElseThrow().toArray()));
    } catch (PlatformFormatException | RuntimeException e) {
      // One record must not keep the others of its page from being applied.
      logMalformed(StoreClient.ENDPOINT_TOPIC, e.getMessage() + " at offset " + record.offset());
      return Optional.empty();
    }
  }

  private void logMalformed(String topic, String problem) {
    log.line("record_malformed").put("topic", topic).put("problem", problem).write();
  }
}
