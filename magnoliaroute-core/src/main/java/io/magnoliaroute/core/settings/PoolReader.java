package io.magnoliaroute.core.settings;

import io.magnoliaroute.core.model.DataCentreId;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.PoolId;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads and checks the settings of a pool branch. */
final class PoolReader {

  private static final int MAX_WINDOW_SLOTS = 4_096;
  private static final EndpointId PLACEHOLDER_ENDPOINT = new EndpointId("none");
  private static final DataCentreId PLACEHOLDER_DATA_CENTRE = new DataCentreId("none");
  private static final HostPort PLACEHOLDER_ADDRESS = new HostPort("0.0.0.0", 1);

  private final BranchContext context;
  private final PoolId pool;

  PoolReader(BranchContext context, PoolId pool) {
    this.context = context;
    this.pool = pool;
  }

  PoolSettings read(Section section) {
    PoolKind kind = section.requireValue("kind", PoolReader::kind).orElse(PoolKind.SERVICE);
    List<String> models = section.values("models", ValueParsers::notBlank);
    List<String> nonIdempotent =
        section.values("non_idempotent_operations", ValueParsers::operation);
    boolean statusQuery = section.booleanOrDefault("status_query", false);
    checkKind(section, kind, models, nonIdempotent);
    Set<EndpointId> ids = new HashSet<>();
    Set<HostPort> addresses = new HashSet<>();
    List<EndpointSettings> endpoints =
        section.sections("endpoints", endpointSection -> endpoint(endpointSection, ids, addresses));
    if (endpoints.isEmpty()) {
      section.warning("endpoints", "has no endpoint, so calls to the pool are refused");
    }
    return new PoolSettings(pool, kind, models, Set.copyOf(nonIdempotent), statusQuery, endpoints);
  }

  private static PoolKind kind(String text) {
    for (PoolKind kind : PoolKind.values()) {
      if (kind.wireName().equals(text)) {
        return kind;
      }
    }
    throw new IllegalArgumentException("must be model or service, is '" + text + "'");
  }

  private static void checkKind(
      Section section, PoolKind kind, List<String> models, List<String> nonIdempotent) {
    if (kind == PoolKind.SERVICE) {
      if (!models.isEmpty()) {
        section.error("models", "must be empty for a service");
      }
      return;
    }
    if (models.isEmpty()) {
      section.error("models", "must name at least one model");
    }
    if (!nonIdempotent.isEmpty()) {
      section.error("non_idempotent_operations", "must be empty for model engines");
    }
  }

  private EndpointSettings endpoint(Section section, Set<EndpointId> ids, Set<HostPort> addresses) {
    EndpointId id = section.requireValue("id", EndpointId::new).orElse(PLACEHOLDER_ENDPOINT);
    checkId(section, id, ids);
    HostPort address =
        section.requireValue("address", ValueParsers::hostPort).orElse(PLACEHOLDER_ADDRESS);
    if (address.port() == 0) {
      section.error("address", "must have a port from 1 to " + ValueParsers.MAX_PORT);
    }
    if (section.has("address") && !address.equals(PLACEHOLDER_ADDRESS) && !addresses.add(address)) {
      section.error("address", "is the address of another endpoint: " + address);
    }
    DataCentreId dataCentre =
        section.requireValue("data_centre", DataCentreId::new).orElse(PLACEHOLDER_DATA_CENTRE);
    int windowSlots = section.requireInt("window_slots", 1, MAX_WINDOW_SLOTS);
    int reservedSlots = section.intOrDefault("urgent_reserved_slots", 0, 0, MAX_WINDOW_SLOTS);
    if (reservedSlots > windowSlots) {
      section.error(
          "urgent_reserved_slots",
          "must be at most window_slots, is " + reservedSlots + " of " + windowSlots);
    } else if (reservedSlots == windowSlots) {
      section.warning("urgent_reserved_slots", "leaves no slot for calls that are not urgent");
    }
    return new EndpointSettings(
        id,
        address.host(),
        address.port(),
        dataCentre,
        windowSlots,
        reservedSlots,
        section.booleanOrDefault("checks_fencing_token", false),
        section.booleanOrDefault("draining", false));
  }

  private void checkId(Section section, EndpointId id, Set<EndpointId> ids) {
    if (!section.has("id") || id.equals(PLACEHOLDER_ENDPOINT)) {
      return;
    }
    if (!ids.add(id)) {
      section.error("id", "is the id of another endpoint: " + id);
    }
    Optional<PoolId> conflictingPool =
        context.poolOfEndpoint(id).filter(otherPool -> !otherPool.equals(pool));
    conflictingPool.ifPresent(
        otherPool -> section.error("id", "is an endpoint of pool " + otherPool + " too"));
  }
}
