package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreRecord;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The VMs of the cluster, as registered in the store. */
final class VmDirectory implements StoreTail.Listener {

  /** The topic of the VMs' entries. */
  static final String TOPIC = StoreClient.KEYED_PREFIX + "vms";

  /** Limits the rate of writes when another writer keeps changing this VM's entry. */
  private static final long MIN_WRITE_INTERVAL_MS = 1_000;

  private static final long NOT_WRITTEN = Long.MIN_VALUE / 2;

  private final VmEntry self;
  private final StoreClient store;
  private final InstantSource clock;
  private final DecisionLog log;
  private final Map<VmId, VmEntry> vms = new HashMap<>();
  private final Map<VmId, VmEntry> departed = new HashMap<>();
  private long revision;
  private boolean registered;
  private long writtenAtMs = NOT_WRITTEN;
  private boolean deregistered;
  private boolean storeListed;
  private boolean listedBeforeStart = true;

  VmDirectory(VmEntry self, StoreClient store, InstantSource clock, DecisionLog log) {
    this.self = self;
    this.clock = clock;
    this.store = store;
    this.log = log;
    vms.put(self.vm(), self);
  }

  /** Returns all VMs, including this one. */
  Collection<VmEntry> all() {
    return vms.values();
  }

  int size() {
    return vms.size();
  }

  /** Returns a counter that is incremented with each change of the list. */
  long revision() {
    return revision;
  }

  boolean isPresent(VmId vm) {
    return vms.containsKey(vm);
  }

  /** Returns a registered VM, or one that has deregistered and may still finish its requests. */
  Optional<VmEntry> findIncludingDeparted(VmId vm) {
    return Optional.ofNullable(vms.get(vm)).or(() -> Optional.ofNullable(departed.get(vm)));
  }

  /** Adds a VM reported by a peer, unless it is known; records of the store take precedence. */
  void addFromPeer(VmEntry entry) {
    if (vms.putIfAbsent(entry.vm(), entry) == null) {
      revision++;
    }
  }

  /**
   * Returns whether the other VMs are known: the store has listed them, or a peer has named some.
   */
  boolean isListed() {
    return storeListed || vms.size() > 1;
  }

  /**
   * Returns whether the store listed an entry of an earlier start of this VM, which has not stopped
   * gracefully; true while this is not known.
   */
  boolean isListedBeforeStart() {
    return listedBeforeStart;
  }

  /** Returns whether this VM has removed its entry from the store because it is stopping. */
  boolean isDeregistered() {
    return deregistered;
  }

  /** Removes this VM's entry from the store by writing a tombstone. */
  void deregister() {
    deregistered = true;
    revision++;
    store.append(
        TOPIC,
        0,
        Optional.empty(),
        List.of(new StoreClient.KeyValue(self.vm().value(), Bytes.copyOf(new byte[0]))));
  }

  @Override
  public void onListing(StoreClient.Listing listing) {
    List<VmId> listed = new ArrayList<>();
    boolean selfListed = false;
    boolean isFirstListing = !storeListed && !hasWritten();
    for (StoreRecord record : listing.records()) {
      Optional<VmEntry> entry = apply(record);
      entry.ifPresent(present -> listed.add(present.vm()));
      selfListed |= entry.isPresent() && entry.get().equals(self);
    }
    for (VmEntry each : List.copyOf(vms.values())) {
      if (!listed.contains(each.vm()) && !each.equals(self)) {
        vms.remove(each.vm());
        departed.put(each.vm(), each);
        revision++;
      }
    }
    registered = selfListed;
    if (isFirstListing) {
      listedBeforeStart = listed.contains(self.vm());
    }
    storeListed = true;
    register();
  }

  @Override
  public void onRecords(StoreClient.Page page) {
    for (StoreRecord record : page.records()) {
      Optional<VmEntry> entry = apply(record);
      if (record.key().equals(self.vm().value())) {
        registered = entry.isPresent() && entry.get().equals(self);
        register();
      }
    }
  }

  private Optional<VmEntry> apply(StoreRecord record) {
    try {
      VmId vm = new VmId(record.key());
      if (record.value().isEmpty()) {
        VmEntry removed = vm.equals(self.vm()) ? null : vms.remove(vm);
        if (removed != null) {
          departed.put(vm, removed);
          revision++;
          log.line("vm_left").put("peer", vm.value()).write();
        }
        return Optional.empty();
      }
      VmEntry entry = VmEntry.decode(record.key(), record.value().get());
      if (!vm.equals(self.vm()) && !entry.equals(vms.put(vm, entry))) {
        revision++;
        log.line("vm_joined").put("peer", vm.value()).put("at", entry.address().toString()).write();
      }
      return Optional.of(entry);
    } catch (MalformedRecordException | IllegalArgumentException e) {
      log.line("record_malformed")
          .put("topic", TOPIC)
          .put("problem", String.valueOf(e.getMessage()))
          .write();
      return Optional.empty();
    }
  }

  private boolean hasWritten() {
    return writtenAtMs != NOT_WRITTEN;
  }

  /** Writes this VM's entry if it is missing from the store or differs there. */
  void register() {
    if (registered || deregistered || clock.millis() - writtenAtMs < MIN_WRITE_INTERVAL_MS) {
      return;
    }
    writtenAtMs = clock.millis();
    store.append(
        TOPIC,
        0,
        Optional.empty(),
        List.of(new StoreClient.KeyValue(self.vm().value(), self.encode())));
  }
}
