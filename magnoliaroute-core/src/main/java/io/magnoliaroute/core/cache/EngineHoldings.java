package io.magnoliaroute.core.cache;

import io.magnoliaroute.core.model.ProgramId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The assumed cache contents of one engine, derived from grants, events and listings. */
final class EngineHoldings {

  private static final long NOT_SENT = Long.MIN_VALUE;
  private static final long FROM_GRANT = -1;

  private final Map<ProgramId, Hold> holds = new HashMap<>();
  private long lastSequence;
  private boolean sequenceKnown;
  private boolean gap = true;
  private long sequenceAtRequest;
  private long listingSentMs = NOT_SENT;
  private boolean listingWaits;
  private long nextListingMs = Long.MIN_VALUE;

  private static final class Hold {
    private long sequence = FROM_GRANT;
    private boolean granted;
    private long releaseSentMs = NOT_SENT;
  }

  /**
   * Records that a call of the program was assigned to the engine, which may then hold its memory.
   */
  void granted(ProgramId program) {
    holds.computeIfAbsent(program, p -> new Hold()).granted = true;
  }

  void apply(CacheEvent event) {
    if (sequenceKnown && event.sequence() > lastSequence + 1) {
      gap = true;
    }
    lastSequence = sequenceKnown ? Math.max(lastSequence, event.sequence()) : event.sequence();
    sequenceKnown = true;
    Hold entry = holds.get(event.program());
    if (entry != null && entry.sequence >= event.sequence()) {
      return;
    }
    if (event.kind() == CacheEvent.Kind.STORED) {
      stored(event.program(), event.sequence());
    } else if (entry != null && !entry.granted) {
      holds.remove(event.program());
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
      holds.values().forEach(entry -> entry.sequence = FROM_GRANT);
      lastSequence = listing.sequence();
      // A delayed response to an earlier request is indistinguishable from a restart; another
      // listing resolves this.
      gap = true;
    }
    holds
        .entrySet()
        .removeIf(
            entry ->
                !entry.getValue().granted
                    && entry.getValue().sequence <= listing.sequence()
                    && !listing.programs().contains(entry.getKey()));
    for (ProgramId program : listing.programs()) {
      stored(program, listing.sequence());
    }
    lastSequence = sequenceKnown ? Math.max(lastSequence, listing.sequence()) : listing.sequence();
    sequenceKnown = true;
    listingWaits = false;
  }

  private void stored(ProgramId program, long sequence) {
    Hold entry = holds.computeIfAbsent(program, p -> new Hold());
    entry.sequence = Math.max(entry.sequence, sequence);
  }

  /** Returns whether a listing must be requested now and, if so, records the request. */
  boolean takeListingDue(CacheSettings settings, long nowMs) {
    boolean recent = listingSentMs != NOT_SENT && nowMs - listingSentMs < settings.repeatMs();
    boolean needed = gap || listingWaits || nowMs >= nextListingMs;
    if (recent || !needed) {
      return false;
    }
    gap = false;
    listingWaits = true;
    listingSentMs = nowMs;
    sequenceAtRequest = lastSequence;
    nextListingMs = nowMs + settings.listingPeriodMs();
    return true;
  }

  /** Returns whether a release of the program must be sent now and, if so, records the release. */
  boolean takeReleaseDue(ProgramId program, CacheSettings settings, long nowMs) {
    Hold entry = holds.get(program);
    if (entry == null) {
      return false;
    }
    boolean pending =
        entry.releaseSentMs != NOT_SENT && nowMs - entry.releaseSentMs < settings.repeatMs();
    if (pending) {
      return false;
    }
    entry.releaseSentMs = nowMs;
    return true;
  }

  void released(ProgramId program) {
    holds.remove(program);
  }

  Collection<ProgramId> programs() {
    return holds.keySet();
  }

  Set<ProgramId> copyOfPrograms() {
    return new HashSet<>(holds.keySet());
  }
}
