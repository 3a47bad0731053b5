package io.magnoliaroute.core.gateway;

import io.magnoliaroute.core.gateway.RequestMetadata.PromptSegment;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates, in virtual time, a fleet of VMs that place the turns of programs on model engines, and
 * measures the turns.
 */
class PlacementSimulation {

  private static final int CLIENTS = 168;
  static final int SHARED_PREFIXES = 16;
  private static final long SHARED_TOKENS = 12_600;
  static final double PREFIX_SKEW = 1.6;
  private static final int TURNS = 5;
  static final double STEP_MS = 1.27;
  static final double STEP_MS_PER_SLOT = 0.02;
  static final int OUTPUT_TOKENS = 257;
  static final double THINK_MS = 120;
  private static final long DURATION_MS = 30_000;

  final Fleet fleet;
  final SplittableRandom random = new SplittableRandom(26);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));
  final List<Vm> vms = new ArrayList<>();
  final List<Engine> engines = new ArrayList<>();
  private final List<Double> turnRatios = new ArrayList<>();
  private final RequestPermitIssuer permits = new RequestPermitIssuer();
  double nowMs;

  /**
   * The size of a fleet.
   *
   * @param vms number of VMs
   * @param engines number of engines
   * @param slots number of turns that an engine runs concurrently
   * @param cacheTokens number of prompt tokens that an engine keeps
   * @param limitedEngines number of engines with a request limit
   * @param limitPerS the request limit of a limited engine
   * @param prefillTokensPerMs number of prompt tokens that an engine processes per millisecond
   * @param ownTokensPerTurn number of prompt tokens that each turn adds
   */
  record Fleet(
      int vms,
      int engines,
      int slots,
      int cacheTokens,
      int limitedEngines,
      double limitPerS,
      double prefillTokensPerMs,
      long ownTokensPerTurn) {

    /** Creates a fleet of engines that process 205 prompt tokens per millisecond. */
    Fleet(int vms, int engines, int slots, int cacheTokens, int limitedEngines, double limitPerS) {
      this(vms, engines, slots, cacheTokens, limitedEngines, limitPerS, 205, 1_400);
    }
  }

  PlacementSimulation(Fleet fleet) {
    this.fleet = fleet;
  }

  private record Event(double atMs, Runnable action) {}

  static final class Vm {
    final EndpointDirectory directory = new EndpointDirectory();
    final EndpointLoadTracker loads = new EndpointLoadTracker();
    private final PrefixCacheIndex prefixes = new PrefixCacheIndex(4_096);
    final ServiceTimeAverages times = new ServiceTimeAverages();
    private final RequestLimits limits = new RequestLimits();
    private final EndpointSelector selector;

    private Vm(String dataCentre) {
      selector =
          new EndpointSelector(
              directory,
              loads,
              prefixes,
              times,
              limits,
              new EndpointPaths(new VmId("vm"), dataCentre));
    }
  }

  final class Engine {
    final EndpointEntry entry;
    private final Deque<Turn> waiting = new ArrayDeque<>();
    private final List<Turn> running = new ArrayList<>();
    private final LinkedHashMap<String, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;
    private double advancedMs;
    private double busyUntilMs;
    private int version;

    private Engine(EndpointEntry entry) {
      this.entry = entry;
    }

    private void add(Turn turn) {
      advance();
      waiting.add(turn);
      startWaiting();
    }

    /** Removes a turn whose client has left. */
    void cancel(Turn turn) {
      advance();
      if (!waiting.remove(turn) && running.remove(turn)) {
        startWaiting();
      }
      turn.vm.loads.recordRequestEnd(entry.id());
    }

    EndpointLoadTracker.Report report() {
      return new EndpointLoadTracker.Report(running.size(), waiting.size(), fleet.slots(), 1);
    }

    private void startWaiting() {
      while (running.size() < fleet.slots() && !waiting.isEmpty()) {
        Turn turn = waiting.poll();
        busyUntilMs = Math.max(nowMs, busyUntilMs) + prefill(turn) / fleet.prefillTokensPerMs();
        turn.leftTokens = OUTPUT_TOKENS;
        running.add(turn);
        turn.vm.loads.recordReport(entry.id(), report(), (long) nowMs);
        turn.startedAtMs = nowMs;
      }
      scheduleNext();
    }

    private long prefill(Turn turn) {
      long uncached = 0;
      boolean hit = true;
      for (PromptSegment segment : turn.prefix()) {
        hit &= cache.containsKey(segment.id());
        if (!hit) {
          uncached += segment.tokens();
        }
        if (cache.put(segment.id(), segment.tokens()) == null) {
          cachedTokens += segment.tokens();
        }
      }
      while (cachedTokens > fleet.cacheTokens()) {
        String eldest = cache.keySet().iterator().next();
        cachedTokens -= cache.remove(eldest);
      }
      return uncached;
    }

    private double stepMs() {
      return STEP_MS + STEP_MS_PER_SLOT * running.size();
    }

    private void advance() {
      double from = Math.max(advancedMs, Math.min(busyUntilMs, nowMs));
      double tokens = Math.max(0, nowMs - from) / stepMs();
      running.forEach(turn -> turn.leftTokens -= tokens);
      advancedMs = nowMs;
    }

    private void scheduleNext() {
      int scheduled = ++version;
      double least = running.stream().mapToDouble(turn -> turn.leftTokens).min().orElse(-1);
      if (least < -0.5) {
        return;
      }
      double atMs = Math.max(nowMs, busyUntilMs) + Math.max(0, least) * stepMs() + 0.01;
      events.add(new Event(atMs, () -> completeDue(scheduled)));
    }

    private void completeDue(int scheduled) {
      if (scheduled != version) {
        return;
      }
      advance();
      List<Turn> done = running.stream().filter(turn -> turn.leftTokens <= 0.01).toList();
      running.removeAll(done);
      startWaiting();
      done.forEach(Turn::complete);
    }
  }

  final class Turn {
    final Vm vm;
    final String program;
    final int shared;
    final int number;
    final double sentAtMs;
    Engine engine;
    double startedAtMs;
    private double leftTokens;

    Turn(Vm vm, String program, int shared, int number) {
      this.vm = vm;
      this.program = program;
      this.shared = shared;
      this.number = number;
      this.sentAtMs = nowMs;
    }

    private List<PromptSegment> prefix() {
      List<PromptSegment> prefix = new ArrayList<>();
      prefix.add(new PromptSegment("shared-" + shared, SHARED_TOKENS));
      for (int turn = 0; turn <= number; turn++) {
        prefix.add(new PromptSegment(program + "/" + turn, fleet.ownTokensPerTurn()));
      }
      return prefix;
    }

    private EndpointSelector.Selection select(RequestMetadata metadata) {
      return vm.selector
          .select("llm", metadata, any -> true, any -> true, (long) nowMs)
          .orElseThrow();
    }

    void send() {
      RequestMetadata metadata =
          new RequestMetadata(
              program + "/" + number,
              Optional.empty(),
              Optional.of(program),
              Optional.of(program),
              Optional.empty(),
              Optional.empty(),
              SHARED_TOKENS,
              OUTPUT_TOKENS,
              prefix(),
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              Optional.empty());
      while (true) {
        EndpointSelector.Selection selection = select(metadata);
        EndpointEntry chosen = selection.endpoint();
        Optional<RequestLimit> limit = vm.limits.find(chosen);
        if (limit.isEmpty()) {
          start(chosen);
          return;
        }
        RequestPermitIssuer.Permit permit =
            permits.request(limit.get(), 1, selection.maxPermitDelayMs(), (long) nowMs);
        if (permit.delayMs() > 0) {
          vm.limits.markExhausted(chosen, (long) nowMs + permit.delayMs());
        }
        if (permit.granted()) {
          events.add(new Event(nowMs + permit.delayMs(), () -> start(chosen)));
          return;
        }
      }
    }

    private void start(EndpointEntry chosen) {
      vm.loads.recordRequestStart(chosen.id());
      engine = engines.get(Integer.parseInt(chosen.id().value()));
      engine.add(this);
    }

    private void complete() {
      vm.loads.recordRequestEnd(engine.entry.id());
      vm.times.recordDuration("llm", (long) (nowMs - sentAtMs));
      vm.prefixes.recordProcessed(prefix(), engine.entry);
      double idleMs =
          OUTPUT_TOKENS * (STEP_MS + STEP_MS_PER_SLOT)
              + fleet.ownTokensPerTurn() / fleet.prefillTokensPerMs();
      if (sentAtMs > DURATION_MS / 3.0) {
        turnRatios.add((nowMs - sentAtMs) / idleMs);
      }
      onCompleted(this);
    }
  }

  /** Continues the program of a turn that has ended. */
  void onCompleted(Turn turn) {
    if (turn.number + 1 < TURNS) {
      after(THINK_MS, () -> new Turn(turn.vm, turn.program, turn.shared, turn.number + 1).send());
    }
  }

  void after(double delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, action));
  }

  /** Runs programs that send the given number of turns per second. */
  void run(double turnsPerSecond) {
    createFleet();
    addArrivals(turnsPerSecond);
    runEvents();
  }

  void createFleet() {
    String[] dataCentres = {"a", "b", "c"};
    for (int i = 0; i < fleet.engines(); i++) {
      engines.add(
          new Engine(
              new EndpointEntry(
                  new EndpointId(String.valueOf(i)),
                  "llm",
                  new HostPort("10.0.0." + i, 80),
                  dataCentres[i % 3],
                  fleet.slots(),
                  false,
                  1,
                  1,
                  "v1")));
    }
    for (int i = 0; i < fleet.vms(); i++) {
      Vm vm = new Vm(dataCentres[i % 3]);
      engines.forEach(engine -> vm.directory.apply(engine.entry));
      for (Engine engine : engines.subList(0, fleet.limitedEngines())) {
        vm.limits.apply(new RequestLimit(engine.entry.id(), 1, fleet.limitPerS()), 0);
      }
      vms.add(vm);
    }
  }

  private void addArrivals(double turnsPerSecond) {
    int[] vmOfClient = new int[CLIENTS];
    Arrays.setAll(vmOfClient, client -> random.nextInt(fleet.vms()));
    double programsPerMs = turnsPerSecond / TURNS / 1_000;
    int program = 0;
    for (double atMs = 0; atMs < DURATION_MS; ) {
      atMs += -Math.log(1 - random.nextDouble()) / programsPerMs;
      String id = "p" + program++;
      int shared = (int) (SHARED_PREFIXES * Math.pow(random.nextDouble(), PREFIX_SKEW));
      Vm vm = vms.get(vmOfClient[random.nextInt(CLIENTS)]);
      events.add(new Event(atMs, () -> new Turn(vm, id, shared, 0).send()));
    }
  }

  void runEvents() {
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowMs = next.atMs;
      next.action().run();
    }
  }

  /** Returns the number of measured turns. */
  int turns() {
    return turnRatios.size();
  }

  /** Returns a quantile of the duration of turns, as a multiple of that on an idle engine. */
  double quantile(double share) {
    double[] sorted = turnRatios.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return sorted[(int) (share * (sorted.length - 1))];
  }
}
