package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.ProgramId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The assumed cache contents of one engine, derived from grants, events and listings. */
final class EngineCacheState {

  private static final long NEVER_SENT = Long.MIN_VALUE;
  private static final long NO_EVENT_SEQUENCE = -1;

  private final Map<ProgramId, CacheEntry> entries = new HashMap<>();
  private long lastSequence;
  private boolean sequenceKnown;
  private boolean gapDetected = true;
  private long sequenceAtRequest;
  private long listingSentMs = NEVER_SENT;
  private boolean listingPending;
  private long nextListingMs = Long.MIN_VALUE;

  private static final class CacheEntry {
    private long sequence = NO_EVENT_SEQUENCE;
    private boolean granted;
    private long releaseSentMs = NEVER_SENT;
  }

  /**
   * Records that a call of the program was assigned to the engine, which may then hold its memory.
   */
  void onGrant(ProgramId program) {
    entries.computeIfAbsent(program, p -> new CacheEntry()).granted = true;
  }

  void apply(CacheEvent event) {
    if (sequenceKnown && event.sequence() > lastSequence + 1) {
      gapDetected = true;
    }
    lastSequence = sequenceKnown ? Math.max(lastSequence, event.sequence()) : event.sequence();
    sequenceKnown = true;
    CacheEntry entry = entries.get(event.program());
    if (entry != null && entry.sequence >= event.sequence()) {
      return;
    }
    if (event.kind() == CacheEvent.Kind.STORED) {
      recordStored(event.program(), event.sequence());
    } else if (entry != null && !entry.granted) {
      entries.remove(event.program());
    }
  }

  /**
   * Applies a listing. Entries from later events and from grants are retained, as the listing does
   * not cover later events or granted calls that had not started.
   */
  void apply(CacheListing listing) {
    // A sequence number below one received before the request means that the engine restarted and
    // its sequence numbers start over.
    boolean restarted = sequenceKnown && listing.sequence() < sequenceAtRequest;
    if (restarted) {
      entries.values().forEach(entry -> entry.sequence = NO_EVENT_SEQUENCE);
      lastSequence = listing.sequence();
      // A delayed response to an earlier request is indistinguishable from a restart; another
      // listing resolves this.
      gapDetected = true;
    }
    entries
        .entrySet()
        .removeIf(
            entry ->
                !entry.getValue().granted
                    && entry.getValue().sequence <= listing.sequence()
                    && !listing.programs().contains(entry.getKey()));
    for (ProgramId program : listing.programs()) {
      recordStored(program, listing.sequence());
    }
    lastSequence = sequenceKnown ? Math.max(lastSequence, listing.sequence()) : listing.sequence();
    sequenceKnown = true;
    listingPending = false;
  }

  private void recordStored(ProgramId program, long sequence) {
    CacheEntry entry = entries.computeIfAbsent(program, p -> new CacheEntry());
    entry.sequence = Math.max(entry.sequence, sequence);
  }

  /** Returns whether a listing must be requested now and, if so, records the request. */
  boolean requestListingIfDue(CacheSettings settings, long nowMs) {
    boolean recent =
        listingSentMs != NEVER_SENT && nowMs - listingSentMs < settings.retryIntervalMs();
    boolean needed = gapDetected || listingPending || nowMs >= nextListingMs;
    if (recent || !needed) {
      return false;
    }
    gapDetected = false;
    listingPending = true;
    listingSentMs = nowMs;
    sequenceAtRequest = lastSequence;
    nextListingMs = nowMs + settings.listingPeriodMs();
    return true;
  }

  /** Returns whether a release of the program must be sent now and, if so, records the release. */
  boolean requestReleaseIfDue(ProgramId program, CacheSettings settings, long nowMs) {
    CacheEntry entry = entries.get(program);
    if (entry == null) {
      return false;
    }
    boolean pending =
        entry.releaseSentMs != NEVER_SENT
            && nowMs - entry.releaseSentMs < settings.retryIntervalMs();
    if (pending) {
      return false;
    }
    entry.releaseSentMs = nowMs;
    return true;
  }

  void onReleased(ProgramId program) {
    entries.remove(program);
  }

  Collection<ProgramId> programs() {
    return entries.keySet();
  }

  Set<ProgramId> copyOfPrograms() {
    return new HashSet<>(entries.keySet());
  }
}
