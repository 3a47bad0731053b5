package io.magnoliaroute.core.gateway.quota;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which VMs reply to this one, to derive the share of the quotas that this side of a network
 * partition may issue. Not thread-safe; confined to one event loop.
 *
 * <p>A VM that issues permits queries every other VM at least once a second, and some VM of each
 * data centre every 250 ms. Silence of a whole data centre is therefore noticed within {@link
 * #REGION_SILENT_MS} of the partition; it is computed at each decision, not by a timer. VMs that
 * issue nothing query only those that have not replied yet, or not to their last question.
 */
public final class VmReachability {

  /**
   * Time after which a data centre counts as cut off if none of its VMs has replied. Two queries
   * remain unanswered in it.
   */
  static final long REGION_SILENT_MS = 600;

  /**
   * Time after which a single VM counts as cut off while others of its data centre reply. Longer
   * than a query interval, and a VM with a quarter of a core may reply late under load.
   */
  static final long VM_SILENT_MS = 1_600;

  /**
   * Time for which a VM that replies again does not count yet. Until it hears of this VM, its side
   * of the partition may issue its own share. All silent VMs are queried at once when the first of
   * them replies.
   */
  static final long RECOVERY_MS = 500;

  /** Interval of queries to a data centre. */
  private static final long REGION_QUERY_MS = 250;

  /** Number of those intervals after which the same VM is queried again. */
  private static final int MAX_QUERY_INTERVALS = 4;

  /**
   * Time after which a VM that reaches less than half of its data centre stops issuing. Faults last
   * 4.5 to 9 s.
   */
  static final long MINORITY_LIMIT_MS = 60_000;

  /**
   * Time after which a silent VM no longer reduces the share of the others, so that VMs that were
   * replaced without deregistering do not reduce it for ever. Such a VM has stopped issuing before.
   */
  static final long FORGET_MS = 90_000;

  private final VmId self;
  private final String ownDataCentre;
  private final Map<VmId, Peer> peers = new HashMap<>();
  private final Map<String, Region> regions = new HashMap<>();
  private Mode mode = Mode.SUSPECTS;
  private boolean member;
  private long recoveredAtMs = Long.MIN_VALUE / 2;
  private long minoritySinceMs = Long.MAX_VALUE;
  private long refreshedAtMs = Long.MIN_VALUE;
  private int counted;
  private int registered;

  /** Which VMs are queried. */
  public enum Mode {
    /** Those that have not replied. */
    SUSPECTS,
    /** All, as needed for the share of a VM that issues permits. */
    ALL
  }

  private static final class Peer {
    private final VmId vm;
    private final Region region;
    private long lastHeardMs;
    private long queriedAtMs;
    private long queryOffsetMs;
    private boolean confirmed;
    private boolean suspect;
    private boolean ended;
    private boolean lost;
    private long countsFromMs = Long.MIN_VALUE;

    private Peer(VmId vm, Region region, long nowMs) {
      this.vm = vm;
      this.region = region;
      this.lastHeardMs = nowMs;
      this.queriedAtMs = Long.MIN_VALUE / 2;
    }
  }

  private static final class Region {
    private final List<Peer> members = new ArrayList<>();
    private long lastHeardMs;
    private int heard;

    private long queryIntervalMs() {
      return REGION_QUERY_MS * Math.min(MAX_QUERY_INTERVALS, members.size());
    }
  }

  /** Creates the view of a VM that knows no other VM. */
  public VmReachability(VmId self, String ownDataCentre) {
    this.self = self;
    this.ownDataCentre = ownDataCentre;
  }

  /** Replaces the list of VMs that issue permits; what is known of those that remain is kept. */
  public void setMembers(Collection<VmEntry> vms, long nowMs) {
    Map<VmId, Peer> earlier = Map.copyOf(peers);
    peers.clear();
    regions.clear();
    member = false;
    refreshedAtMs = Long.MIN_VALUE;
    List<VmEntry> sorted = new ArrayList<>(vms);
    sorted.sort(Comparator.comparing(VmEntry::vm));
    for (VmEntry entry : sorted) {
      if (entry.vm().equals(self)) {
        member = true;
        continue;
      }
      Region region = regions.computeIfAbsent(entry.dataCentre(), name -> new Region());
      Peer peer = new Peer(entry.vm(), region, nowMs);
      copy(earlier.get(entry.vm()), peer);
      peer.queryOffsetMs = REGION_QUERY_MS * (region.members.size() % MAX_QUERY_INTERVALS);
      region.members.add(peer);
      region.lastHeardMs = Math.max(region.lastHeardMs, peer.lastHeardMs);
      peers.put(entry.vm(), peer);
    }
  }

  private static void copy(Peer from, Peer to) {
    if (from == null) {
      return;
    }
    to.lastHeardMs = from.lastHeardMs;
    to.queriedAtMs = from.queriedAtMs;
    to.confirmed = from.confirmed;
    to.suspect = from.suspect;
    to.ended = from.ended;
    to.lost = from.lost;
    to.countsFromMs = from.countsFromMs;
  }

  /** Returns whether this VM itself is registered. */
  public boolean isMember() {
    return member;
  }

  /** Sets which VMs are queried. */
  public void setMode(Mode newMode, long nowMs) {
    if (newMode == Mode.ALL && mode != Mode.ALL) {
      for (Peer peer : peers.values()) {
        boolean silent = peer.suspect || peer.lost || peer.ended;
        peer.lastHeardMs = silent ? peer.lastHeardMs : nowMs;
        peer.region.lastHeardMs = Math.max(peer.region.lastHeardMs, peer.lastHeardMs);
        peer.queriedAtMs = Long.MIN_VALUE / 2;
      }
      refreshedAtMs = Long.MIN_VALUE;
    }
    mode = newMode;
  }

  /** Records a message of a VM. */
  public void recordHeard(VmId vm, long nowMs) {
    Peer peer = peers.get(vm);
    if (peer == null) {
      return;
    }
    if (peer.lost) {
      peer.countsFromMs = nowMs + RECOVERY_MS;
      queryLost(nowMs);
    }
    peer.lastHeardMs = nowMs;
    peer.region.lastHeardMs = Math.max(peer.region.lastHeardMs, nowMs);
    peer.confirmed = true;
    peer.lost = false;
    peer.suspect = false;
    peer.ended = false;
    refreshedAtMs = Long.MIN_VALUE;
  }

  private void queryLost(long nowMs) {
    if (nowMs - recoveredAtMs < RECOVERY_MS) {
      return;
    }
    recoveredAtMs = nowMs;
    for (Peer peer : peers.values()) {
      if (peer.lost) {
        peer.queriedAtMs = Long.MIN_VALUE / 2;
      }
    }
  }

  /** Records that a VM has not replied in time; it counts as reachable until it is silent. */
  public void recordSilent(VmId vm) {
    Peer peer = peers.get(vm);
    if (peer != null) {
      peer.suspect = true;
      peer.confirmed = false;
    }
  }

  /** Records that the process of a VM has ended: its host refuses connections. */
  public void recordEnded(VmId vm) {
    Peer peer = peers.get(vm);
    if (peer != null) {
      peer.ended = true;
      peer.lost = false;
      peer.confirmed = false;
      peer.countsFromMs = Long.MIN_VALUE;
      refreshedAtMs = Long.MIN_VALUE;
    }
  }

  /** Forgets which VMs know this one, after a pause of this process. */
  public void recordOwnPause(long nowMs) {
    for (Peer peer : peers.values()) {
      peer.confirmed = false;
      peer.lastHeardMs = nowMs;
      peer.region.lastHeardMs = nowMs;
      peer.queriedAtMs = Long.MIN_VALUE / 2;
    }
    refreshedAtMs = Long.MIN_VALUE;
  }

  /** Returns whether a VM may be asked for permits. */
  public boolean isReachable(VmId vm, long nowMs) {
    refresh(nowMs);
    Peer peer = peers.get(vm);
    return vm.equals(self) ? member : peer != null && !peer.ended && !peer.suspect && !peer.lost;
  }

  /** Returns whether the process of a VM has ended. */
  public boolean hasEnded(VmId vm) {
    Peer peer = peers.get(vm);
    return peer != null && peer.ended;
  }

  /** Returns whether every other VM has ended or has recently shown that it reaches this one. */
  public boolean isKnownToAll(long nowMs) {
    refresh(nowMs);
    for (Peer peer : peers.values()) {
      if (!peer.ended && !peer.confirmed) {
        return false;
      }
    }
    return true;
  }

  /** Returns the share of the quotas that the VMs on this side may issue. */
  public double share(long nowMs) {
    refresh(nowMs);
    boolean expired = nowMs - minoritySinceMs > MINORITY_LIMIT_MS && minoritySinceMs <= nowMs;
    return expired ? 0 : (double) counted / registered;
  }

  /** Returns whether this VM reaches no other VM. */
  public boolean isIsolated(long nowMs) {
    refresh(nowMs);
    return counted == 1 && registered > 1;
  }

  private void refresh(long nowMs) {
    if (refreshedAtMs == nowMs) {
      return;
    }
    refreshedAtMs = nowMs;
    regions.values().forEach(region -> region.heard = 0);
    for (Peer peer : peers.values()) {
      if (mode == Mode.ALL && !peer.ended && !peer.lost && isSilent(peer, nowMs)) {
        peer.lost = true;
        peer.confirmed = false;
      }
      peer.region.heard += peer.lost ? 0 : 1;
    }
    counted = 1;
    registered = 1;
    for (Peer peer : peers.values()) {
      if (!peer.ended && !isForgotten(peer, nowMs)) {
        registered++;
        counted += !peer.lost && nowMs >= peer.countsFromMs ? 1 : 0;
      }
    }
    refreshMinority(nowMs);
  }

  private static boolean isSilent(Peer peer, long nowMs) {
    long silentMs = nowMs - peer.lastHeardMs;
    boolean regionSilent = nowMs - peer.region.lastHeardMs > REGION_SILENT_MS;
    return silentMs > VM_SILENT_MS || (regionSilent && silentMs > REGION_SILENT_MS);
  }

  private static boolean isForgotten(Peer peer, long nowMs) {
    return peer.lost
        && nowMs - peer.lastHeardMs > FORGET_MS
        && peer.region.heard * 2 > peer.region.members.size();
  }

  private void refreshMinority(long nowMs) {
    Region own = regions.get(ownDataCentre);
    boolean minority = own != null && (own.heard + 1) * 2 < own.members.size() + 1;
    if (!minority) {
      minoritySinceMs = Long.MAX_VALUE;
    } else if (minoritySinceMs == Long.MAX_VALUE) {
      minoritySinceMs = nowMs;
    }
  }

  /** Returns the VMs that are to be queried now, and records that they are. */
  public List<VmId> queriesDue(long nowMs) {
    List<VmId> due = new ArrayList<>();
    for (Peer peer : peers.values()) {
      boolean needed = mode == Mode.ALL || peer.suspect || peer.ended || !peer.confirmed;
      if (needed && nowMs - peer.queriedAtMs >= peer.region.queryIntervalMs()) {
        // The first queries go to all VMs at once; later ones are spread over the interval.
        boolean first = peer.queriedAtMs < 0;
        peer.queriedAtMs =
            first ? nowMs - peer.queryOffsetMs % peer.region.queryIntervalMs() : nowMs;
        due.add(peer.vm);
      }
    }
    return due;
  }
}
