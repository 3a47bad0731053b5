package io.magnoliaroute.core.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.magnoliaroute.core.gateway.RequestMetadata.PromptSegment;
import io.magnoliaroute.core.model.EndpointId;
import io.magnoliaroute.core.settings.HostPort;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/**
 * Guards against engines that spend their time on prompts that other engines have cached, in a
 * fleet in which each VM sends an engine a request only every few seconds.
 */
@DisplayName("In a fleet of 111 VMs and 34 engines")
class LargeFleetPlacementTest {

  private static final int VMS = 111;
  private static final int ENGINES = 34;
  private static final int SLOTS = 12;
  private static final int CLIENTS = 168;
  private static final int SHARED_PREFIXES = 16;
  private static final long SHARED_TOKENS = 12_600;
  private static final double PREFIX_SKEW = 1.6;
  private static final int TURNS = 5;
  private static final long OWN_TOKENS_PER_TURN = 1_400;
  private static final int CACHE_TOKENS = 230_000;
  private static final double STEP_MS = 1.27;
  private static final double STEP_MS_PER_SLOT = 0.02;
  private static final int OUTPUT_TOKENS = 257;
  private static final double PREFILL_TOKENS_PER_MS = 205;
  private static final double THINK_MS = 120;
  private static final long DURATION_MS = 30_000;

  private final SplittableRandom random = new SplittableRandom(26);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Double.compare(a.atMs, b.atMs));
  private final List<Vm> vms = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Double> turnRatios = new ArrayList<>();
  private double nowMs;

  private record Event(double atMs, Runnable action) {}

  private static final class Vm {
    private final EndpointDirectory directory = new EndpointDirectory();
    private final EndpointLoadTracker loads = new EndpointLoadTracker();
    private final PrefixCacheIndex prefixes = new PrefixCacheIndex(4_096);
    private final ServiceTimeAverages times = new ServiceTimeAverages();
    private final EndpointSelector selector;

    private Vm(String dataCentre) {
      selector =
          new EndpointSelector(directory, loads, prefixes, times, new RequestLimits(), dataCentre);
    }
  }

  private final class Engine {
    private final EndpointEntry entry;
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

    private void startWaiting() {
      while (running.size() < SLOTS && !waiting.isEmpty()) {
        Turn turn = waiting.poll();
        busyUntilMs = Math.max(nowMs, busyUntilMs) + prefill(turn) / PREFILL_TOKENS_PER_MS;
        turn.leftTokens = OUTPUT_TOKENS;
        running.add(turn);
        turn.vm.loads.recordReport(
            entry.id(),
            new EndpointLoadTracker.Report(running.size(), waiting.size(), SLOTS, 1),
            (long) nowMs);
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
      while (cachedTokens > CACHE_TOKENS) {
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
      done.forEach(turn -> turn.complete(this));
    }
  }

  private final class Turn {
    private final Vm vm;
    private final String program;
    private final int shared;
    private final int number;
    private final double sentAtMs;
    private double leftTokens;

    private Turn(Vm vm, String program, int shared, int number) {
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
        prefix.add(new PromptSegment(program + "/" + turn, OWN_TOKENS_PER_TURN));
      }
      return prefix;
    }

    private void send() {
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
              Optional.empty());
      EndpointEntry chosen =
          vm.selector.select("llm", metadata, Set.of(), (long) nowMs).orElseThrow();
      vm.loads.recordRequestStart(chosen.id());
      engines.get(Integer.parseInt(chosen.id().value())).add(this);
    }

    private void complete(Engine engine) {
      vm.loads.recordRequestEnd(engine.entry.id());
      vm.times.recordDuration("llm", (long) (nowMs - sentAtMs));
      vm.prefixes.recordProcessed(prefix(), engine.entry);
      double idleMs =
          OUTPUT_TOKENS * (STEP_MS + STEP_MS_PER_SLOT)
              + OWN_TOKENS_PER_TURN / PREFILL_TOKENS_PER_MS;
      if (sentAtMs > DURATION_MS / 3.0) {
        turnRatios.add((nowMs - sentAtMs) / idleMs);
      }
      if (number + 1 < TURNS) {
        events.add(
            new Event(nowMs + THINK_MS, () -> new Turn(vm, program, shared, number + 1).send()));
      }
    }
  }

  private void run(double turnsPerSecond) {
    String[] dataCentres = {"a", "b", "c"};
    for (int i = 0; i < ENGINES; i++) {
      engines.add(
          new Engine(
              new EndpointEntry(
                  new EndpointId(String.valueOf(i)),
                  "llm",
                  new HostPort("10.0.0." + i, 80),
                  dataCentres[i % 3],
                  SLOTS,
                  false,
                  1,
                  1,
                  "v1")));
    }
    for (int i = 0; i < VMS; i++) {
      Vm vm = new Vm(dataCentres[i % 3]);
      engines.forEach(engine -> vm.directory.apply(engine.entry));
      vms.add(vm);
    }
    int[] vmOfClient = new int[CLIENTS];
    Arrays.setAll(vmOfClient, client -> random.nextInt(VMS));
    double programsPerMs = turnsPerSecond / TURNS / 1_000;
    int program = 0;
    for (double atMs = 0; atMs < DURATION_MS; ) {
      atMs += -Math.log(1 - random.nextDouble()) / programsPerMs;
      String id = "p" + program++;
      int shared = (int) (SHARED_PREFIXES * Math.pow(random.nextDouble(), PREFIX_SKEW));
      Vm vm = vms.get(vmOfClient[random.nextInt(CLIENTS)]);
      events.add(new Event(atMs, () -> new Turn(vm, id, shared, 0).send()));
    }
    while (!events.isEmpty()) {
      Event next = events.poll();
      nowMs = next.atMs;
      next.action().run();
    }
  }

  private double quantile(double share) {
    double[] sorted = turnRatios.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return sorted[(int) (share * (sorted.length - 1))];
  }

  @Test
  @DisplayName("half of the turns take less than 1.6 times as long as on an idle engine")
  void enginesAreNotKeptBusyWithPromptsThatOthersHaveCached() {
    run(600);

    assertTrue(quantile(0.5) < 1.6, "median of " + turnRatios.size() + " turns: " + quantile(0.5));
  }
}
