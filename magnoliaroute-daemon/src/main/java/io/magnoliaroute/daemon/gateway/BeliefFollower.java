package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.EndpointEntry;
import io.magnoliaroute.core.gateway.RoutingTable;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.platform.EndpointDecoder;
import io.magnoliaroute.platform.PlatformFormatException;
import io.magnoliaroute.platform.RoutingDecoder;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreRecord;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Applies records from the store and state from peers to the {@link Beliefs} of this VM. */
final class BeliefFollower {

  private final Beliefs beliefs;
  private final StoreHealth health;
  private final InstantSource clock;
  private final DecisionLog log;

  BeliefFollower(
      Beliefs routingState, StoreHealth storeHealth, InstantSource clock, DecisionLog log) {
    this.beliefs = routingState;
    this.health = storeHealth;
    this.clock = clock;
    this.log = log;
  }

  /** Returns the listener for the topic of the operator's configuration. */
  StoreTail.Reader configuration() {
    return new StoreTail.Reader() {
      @Override
      public void listing(StoreClient.Newest listing) {
        listing.records().forEach(BeliefFollower.this::configuration);
      }

      @Override
      public void records(StoreClient.Page page) {
        page.malformed().forEach(problem -> malformed(StoreClient.OPERATOR_TOPIC, problem));
        page.records().forEach(BeliefFollower.this::configuration);
      }
    };
  }

  /** Returns the listener for the topic of the endpoints' entries. */
  StoreTail.Reader endpoints() {
    return new StoreTail.Reader() {
      @Override
      public void listing(StoreClient.Newest listing) {
        endpointListing(listing.records());
      }

      @Override
      public void records(StoreClient.Page page) {
        page.malformed().forEach(problem -> malformed(StoreClient.ENDPOINT_TOPIC, problem));
        page.records().forEach(BeliefFollower.this::endpoint);
      }
    };
  }

  /** Decodes a configuration from the store or from a peer and applies it if it is newer. */
  void configuration(byte[] value, String source) {
    try {
      RoutingTable table = RoutingDecoder.decode(value);
      if (beliefs.offerTable(table, value)) {
        log.line("config_applied").put("version", table.version()).put("source", source).write();
      }
    } catch (PlatformFormatException e) {
      malformed(StoreClient.OPERATOR_TOPIC, e.getMessage());
    }
  }

  /**
   * Applies the endpoints that a peer reported.
   *
   * @param current whether the peer's view is up to date, so that endpoints missing from it have
   *     been removed
   */
  void endpointsFromPeer(List<EndpointEntry> entries, boolean current) {
    long before = beliefs.endpoints().revision();
    if (current && !entries.isEmpty()) {
      beliefs.endpoints().applyListing(entries, false, clock.millis());
    } else {
      entries.forEach(beliefs.endpoints()::apply);
    }
    if (!entries.isEmpty()) {
      beliefs.endpointsKnown();
    }
    if (beliefs.endpoints().revision() != before) {
      log.line("endpoints_from_peer").put("entries", entries.size()).write();
    }
  }

  private void configuration(StoreRecord record) {
    if (record.key().equals(StoreClient.CONFIG_KEY) && record.value().isPresent()) {
      configuration(record.value().get().toArray(), "store");
    }
  }

  private void endpointListing(List<StoreRecord> records) {
    List<EndpointEntry> listed = new ArrayList<>();
    for (StoreRecord record : records) {
      if (record.value().isPresent()) {
        decode(record).ifPresent(listed::add);
      }
    }
    beliefs.endpoints().applyListing(listed, health.isOutOrJustBack(), clock.millis());
    beliefs.endpointsKnown();
    log.line("endpoints_listed").put("entries", listed.size()).write();
  }

  private void endpoint(StoreRecord record) {
    if (record.value().isEmpty()) {
      removed(record.key());
      return;
    }
    Optional<EndpointEntry> entry = decode(record);
    if (entry.isPresent() && beliefs.endpoints().apply(entry.get())) {
      log.line("endpoint_changed")
          .put("endpoint", record.key())
          .put("service", entry.get().service())
          .put("draining", entry.get().draining())
          .put("offset", record.offset())
          .write();
    }
  }

  private void removed(String key) {
    boolean afterOutage = health.isOutOrJustBack();
    try {
      if (beliefs.endpoints().remove(new EndpointId(key), afterOutage, clock.millis())) {
        log.line("endpoint_removed").put("endpoint", key).put("after_outage", afterOutage).write();
      }
    } catch (IllegalArgumentException e) {
      malformed(StoreClient.ENDPOINT_TOPIC, e.getMessage());
    }
  }

  private Optional<EndpointEntry> decode(StoreRecord record) {
    try {
      return Optional.of(
          EndpointDecoder.decode(record.key(), record.value().orElseThrow().toArray()));
    } catch (PlatformFormatException e) {
      malformed(StoreClient.ENDPOINT_TOPIC, e.getMessage() + " at offset " + record.offset());
      return Optional.empty();
    }
  }

  private void malformed(String topic, String problem) {
    log.line("record_malformed").put("topic", topic).put("problem", problem).write();
  }
}
