package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.history.HolderEntry;
import io.magnoliaroute.core.log.MalformedRecordException;
import io.magnoliaroute.core.model.Bytes;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.platform.StoreClient;
import io.magnoliaroute.platform.StoreException;
import io.magnoliaroute.platform.StoreRecord;
import io.vertx.core.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * The VMs that may hold records of kept turns that are not stored, as registered in the store. A VM
 * registers before others rely on its memory, and removes its entry once it has stopped without
 * leaving a record behind. Used on one event loop.
 */
final class RecordHolders {

  /** The topic of the holders' entries. */
  static final String TOPIC = StoreClient.KEYED_PREFIX + "turn-holders";

  private static final Bytes TOMBSTONE = Bytes.copyOf(new byte[0]);

  private final HolderEntry self;
  private final StoreClient store;
  private final DecisionLog log;
  private final BooleanSupplier listedBeforeStart;
  private Future<Void> registration = Future.failedFuture("not registered");
  private Optional<Boolean> earlierRecordsStored = Optional.empty();

  /**
   * Creates the registry of one start of a VM.
   *
   * @param listedBeforeStart whether the list of VMs still named an earlier start of this VM, which
   *     may be of a build that does not register here
   */
  RecordHolders(
      HolderEntry self, StoreClient store, DecisionLog log, BooleanSupplier listedBeforeStart) {
    this.self = self;
    this.store = store;
    this.log = log;
    this.listedBeforeStart = listedBeforeStart;
  }

  private String ownKey() {
    return self.vm().vm().value();
  }

  /** Returns whether other VMs can know that this one may hold records. */
  boolean isRegistered() {
    return registration.succeeded();
  }

  /** Returns whether all records that earlier starts of this VM held are stored. */
  boolean hasNoEarlierLoss() {
    return isRegistered() && earlierRecordsStored.orElse(false);
  }

  /** Registers this VM unless it is registered or a call for it is under way. */
  void register() {
    if (isRegistered() || !registration.isComplete()) {
      return;
    }
    registration =
        list()
            .compose(
                holders -> {
                  HolderEntry present = holders.get(self.vm().vm());
                  // A retry after a lost response finds this start's own entry.
                  if (earlierRecordsStored.isEmpty()) {
                    earlierRecordsStored =
                        Optional.of(present == null && !listedBeforeStart.getAsBoolean());
                  }
                  return store.append(
                      TOPIC,
                      0,
                      Optional.empty(),
                      List.of(new StoreClient.KeyValue(ownKey(), self.encode())));
                })
            .onSuccess(
                end ->
                    log.line("holder_registered")
                        .put("earlier_records_stored", earlierRecordsStored.orElse(false))
                        .write())
            .mapEmpty();
  }

  /**
   * Removes this VM's entry, because all its records are stored. The append is conditional: one
   * that takes effect late must not remove the entry of the VM's next start.
   */
  Future<Void> deregister() {
    if (!isRegistered()) {
      return Future.succeededFuture();
    }
    return store
        .listNewest(TOPIC, 0)
        .compose(
            listing ->
                store.append(
                    TOPIC,
                    0,
                    Optional.of(listing.end()),
                    List.of(new StoreClient.KeyValue(ownKey(), TOMBSTONE))))
        .<Void>mapEmpty()
        .recover(e -> StoreException.isConflict(e) ? deregister() : Future.failedFuture(e))
        .onFailure(
            e ->
                log.line("holder_not_removed")
                    .put("cause", String.valueOf(e.getMessage()))
                    .write());
  }

  /** Reads the VMs that may hold records at present, by their names. */
  Future<Map<VmId, HolderEntry>> list() {
    return store.listNewest(TOPIC, 0).map(listing -> decode(listing.records()));
  }

  private Map<VmId, HolderEntry> decode(List<StoreRecord> records) {
    Map<VmId, HolderEntry> holders = new HashMap<>();
    for (StoreRecord read : records) {
      if (read.value().isEmpty()) {
        continue;
      }
      try {
        HolderEntry holder = HolderEntry.decode(read.key(), read.value().get());
        holders.put(holder.vm().vm(), holder);
      } catch (MalformedRecordException | IllegalArgumentException e) {
        log.line("record_malformed")
            .put("topic", TOPIC)
            .put("problem", String.valueOf(e.getMessage()))
            .write();
      }
    }
    return holders;
  }

  /** Returns the VMs of the given list and of the registered holders, without this one. */
  List<VmEntry> others(List<VmEntry> listed, Map<VmId, HolderEntry> holders) {
    Map<VmId, VmEntry> others = new HashMap<>();
    listed.forEach(vm -> others.put(vm.vm(), vm));
    holders.forEach((vm, holder) -> others.put(vm, holder.vm()));
    others.remove(self.vm().vm());
    return List.copyOf(others.values());
  }
}
