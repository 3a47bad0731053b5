package io.magnoliaroute.core.gateway.quota;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.gateway.quota.PermitDecision.Verdict;
import io.magnoliaroute.core.gateway.workspace.WorkspaceQuota;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;

/** A fleet of VMs that issue permits under virtual time, with messages that take 1 ms. */
final class QuotaFleet {

  static final int VMS = 136;
  private static final int STRONG_VMS = 17;
  private static final int DATA_CENTRES = 3;
  private static final long LATENCY_MS = 1;
  private static final long TICK_MS = 100;

  private final SplittableRandom random;
  private final Map<VmId, Vm> vms = new TreeMap<>();
  private final List<VmEntry> entries = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparing(Event::number));
  private final Map<String, Log> logs = new HashMap<>();
  private final Map<String, WorkspaceQuota> quotas = new HashMap<>();
  private long version = 1;
  private long nowMs;
  private long lastNumber;
  private long messages;

  private record Event(long atMs, long number, Runnable action) {}

  /** What happened to the requests of one workspace. */
  static final class Log {
    private final List<Long> arrivedMs = new ArrayList<>();
    private final List<Long> ranMs = new ArrayList<>();
    private final List<Long> deniedMs = new ArrayList<>();
    private final List<Long> undecidedMs = new ArrayList<>();
  }

  /** One VM. */
  final class Vm {
    private final VmEntry entry;
    private WorkspacePermitCoordinator coordinator;
    private boolean ended;
    private boolean isolated;
    private boolean paused;
    private String side = "";
    private int incarnation;

    private Vm(VmEntry entry) {
      this.entry = entry;
      boot();
    }

    private void boot() {
      incarnation++;
      coordinator =
          new WorkspacePermitCoordinator(
              entry,
              QuotaBounds.DEFAULT,
              new LocalDenials(random.split()),
              new Network(this),
              new SilentListener());
    }

    private boolean reaches(Vm other) {
      return !isolated && !other.isolated && side.equals(other.side);
    }

    VmId id() {
      return entry.vm();
    }

    String dataCentre() {
      return entry.dataCentre();
    }
  }

  private static final class SilentListener implements WorkspacePermitCoordinator.Listener {
    @Override
    public void onIssuerChanged(String workspace, VmId from, VmId to) {}

    @Override
    public void onIsolationChanged(boolean isolated, double share) {}

    @Override
    public void onPause(long pausedMs) {}
  }

  private final class Network implements WorkspacePermitCoordinator.Messenger {
    private final Vm from;

    private Network(Vm from) {
      this.from = from;
    }

    @Override
    public void ask(
        VmId vm,
        PermitDemand demand,
        boolean forwarded,
        long timeoutMs,
        WorkspacePermitCoordinator.ReplyHandler handler) {
      Vm to = vms.get(vm);
      boolean[] done = {false};
      messages++;
      after(timeoutMs, () -> complete(done, handler, Optional.empty(), false));
      deliver(
          from,
          to,
          () -> {
            if (to.ended) {
              deliver(to, from, () -> complete(done, handler, Optional.empty(), true));
              return;
            }
            to.coordinator.onAsk(
                from.id(),
                demand,
                forwarded,
                nowMs,
                decision ->
                    deliver(to, from, () -> complete(done, handler, Optional.of(decision), false)));
          });
    }

    private void complete(
        boolean[] done,
        WorkspacePermitCoordinator.ReplyHandler handler,
        Optional<PermitDecision> decision,
        boolean ended) {
      if (!done[0]) {
        done[0] = true;
        handler.onReply(decision, ended, nowMs);
      }
    }

    @Override
    public void query(VmId vm) {
      Vm to = vms.get(vm);
      messages++;
      deliver(
          from,
          to,
          () -> {
            if (to.ended) {
              deliver(to, from, () -> from.coordinator.recordEnded(vm));
            } else {
              to.coordinator.recordHeard(from.id(), nowMs);
              deliver(to, from, () -> from.coordinator.recordHeard(vm, nowMs));
            }
          });
    }
  }

  QuotaFleet(long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < VMS; i++) {
      entries.add(
          new VmEntry(
              new VmId("vm-" + i),
              new HostPort("10.0.0.1", 1_000 + i),
              "dc" + i % DATA_CENTRES,
              VmEntry.CURRENT_PROTOCOL,
              i < STRONG_VMS ? 1.5 : 0.252));
    }
    entries.forEach(entry -> vms.put(entry.vm(), new Vm(entry)));
    vms.values().forEach(vm -> vm.coordinator.setMembers(entries, 0));
    for (Vm vm : vms.values()) {
      at(random.nextLong(TICK_MS), () -> tick(vm));
    }
  }

  private void tick(Vm vm) {
    if (!vm.ended && !vm.paused) {
      vm.coordinator.tick(nowMs);
    }
    after(TICK_MS, () -> tick(vm));
  }

  void at(long atMs, Runnable action) {
    events.add(new Event(atMs, ++lastNumber, action));
  }

  private void after(long delayMs, Runnable action) {
    at(nowMs + delayMs, action);
  }

  // A message to a paused VM arrives once the VM goes on.
  private void deliver(Vm from, Vm to, Runnable action) {
    int sender = from.incarnation;
    int receiver = to.incarnation;
    after(
        LATENCY_MS,
        () -> {
          if (to.paused) {
            deliver(from, to, action);
          } else if (from.reaches(to)
              && from.incarnation == sender
              && (to.incarnation == receiver || to.ended)) {
            action.run();
          }
        });
  }

  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().atMs() <= endMs) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    nowMs = endMs;
  }

  void setQuota(String workspace, double permitsPerS, double burst) {
    quotas.put(workspace, new WorkspaceQuota(permitsPerS, burst));
    logs.computeIfAbsent(workspace, name -> new Log());
  }

  /** Lowers or raises a quota with a new configuration version. */
  void changeQuota(String workspace, double permitsPerS, double burst) {
    version++;
    setQuota(workspace, permitsPerS, burst);
  }

  /** Sends requests at random times with the given mean rate, each to the VM that is chosen. */
  void load(
      String workspace,
      double requestsPerS,
      long fromMs,
      long toMs,
      Function<SplittableRandom, Vm> target) {
    double atMs = fromMs;
    while (true) {
      atMs += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerS;
      if (atMs >= toMs) {
        return;
      }
      at((long) atMs, () -> send(workspace, target.apply(random)));
    }
  }

  private void send(String workspace, Vm vm) {
    if (vm.ended || vm.paused) {
      return;
    }
    Log log = logs.get(workspace);
    log.arrivedMs.add(nowMs);
    int incarnation = vm.incarnation;
    vm.coordinator.acquire(
        new PermitDemand(workspace, version, quotas.get(workspace)),
        nowMs,
        decision -> {
          if (decision.verdict() == Verdict.GRANTED && vm.incarnation == incarnation) {
            after(decision.delayMs(), () -> log.ranMs.add(nowMs));
          } else if (decision.verdict() == Verdict.DENIED) {
            log.deniedMs.add(nowMs);
          } else {
            log.undecidedMs.add(nowMs);
          }
        });
  }

  Vm anyVm(SplittableRandom source) {
    return vms.get(entries.get(source.nextInt(VMS)).vm());
  }

  Vm vm(int number) {
    return vms.get(entries.get(number).vm());
  }

  /** Returns the VM that a VM considers the issuer of a workspace. */
  Vm issuer(String workspace, Vm asSeenBy) {
    return vms.get(asSeenBy.coordinator.issuerOf(workspace, nowMs).orElseThrow());
  }

  void kill(Vm vm) {
    vm.ended = true;
    vm.incarnation++;
  }

  void restart(Vm vm) {
    vm.boot();
    vm.ended = false;
    vm.paused = false;
    vm.coordinator.setMembers(entries, nowMs);
  }

  void isolate(Vm vm, boolean isolated) {
    vm.isolated = isolated;
  }

  void pause(Vm vm, boolean paused) {
    vm.paused = paused;
  }

  /** Cuts a data centre off from the others, or ends the cut. */
  void cutOff(String dataCentre, boolean cut) {
    for (Vm vm : vms.values()) {
      vm.side = cut && vm.dataCentre().equals(dataCentre) ? "cut" : "";
    }
  }

  void losePower() {
    vms.values().forEach(this::kill);
  }

  void restoreAll() {
    vms.values().forEach(this::restart);
  }

  List<Vm> all() {
    return List.copyOf(vms.values());
  }

  long messages() {
    return messages;
  }

  List<Long> ran(String workspace) {
    return logs.get(workspace).ranMs;
  }

  int refused(String workspace, long fromMs, long toMs) {
    Log log = logs.get(workspace);
    return count(log.deniedMs, fromMs, toMs) + count(log.undecidedMs, fromMs, toMs);
  }

  int undecided(String workspace, long fromMs, long toMs) {
    return count(logs.get(workspace).undecidedMs, fromMs, toMs);
  }

  int arrived(String workspace, long fromMs, long toMs) {
    return count(logs.get(workspace).arrivedMs, fromMs, toMs);
  }

  private static int count(List<Long> times, long fromMs, long toMs) {
    return (int) times.stream().filter(each -> each >= fromMs && each < toMs).count();
  }

  /** Returns the largest number of requests in any window, and the time at which it ends. */
  static long[] busiestWindow(List<Long> times, long windowMs, long fromMs) {
    List<Long> sorted = times.stream().filter(each -> each >= fromMs).sorted().toList();
    long[] busiest = {0, 0};
    int first = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) > windowMs) {
        first++;
      }
      if (last - first + 1 > busiest[0]) {
        busiest = new long[] {last - first + 1, sorted.get(last)};
      }
    }
    return busiest;
  }

  /**
   * Returns how many requests of a workspace are under its quota: those that a single token bucket
   * which is full at the start would admit in the order of arrival.
   *
   * @param share the share of the quota that the bucket may issue
   */
  int underQuota(String workspace, long fromMs, long toMs, double share) {
    WorkspaceQuota quota = quotas.get(workspace);
    double capacity = quota.burst() * share;
    double permitsPerMs = quota.requestsPerS() * share / 1_000;
    double available = capacity;
    long lastMs = fromMs;
    int admitted = 0;
    for (long each : logs.get(workspace).arrivedMs) {
      if (each < fromMs || each >= toMs) {
        continue;
      }
      available = Math.min(capacity, available + (each - lastMs) * permitsPerMs);
      lastMs = each;
      if (available >= 1) {
        available--;
        admitted++;
      }
    }
    return admitted;
  }

  Iterable<String> workspaces() {
    return quotas.keySet();
  }

  WorkspaceQuota quota(String workspace) {
    return quotas.get(workspace);
  }

  long nowMs() {
    return nowMs;
  }
}
