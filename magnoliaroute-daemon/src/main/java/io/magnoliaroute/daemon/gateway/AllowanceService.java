package io.magnoliaroute.daemon.gateway;

import io.magnoliaroute.core.gateway.VmEntry;
import io.magnoliaroute.core.membership.RendezvousHashing;
import io.magnoliaroute.core.model.Hashing;
import io.magnoliaroute.core.model.VmId;
import io.magnoliaroute.core.settings.HostPort;
import io.magnoliaroute.wire.PeerMessage;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;

/**
 * Reserves tokens at the holder of a program's budget: the first VM in rendezvous order that is
 * reachable and reaches the store. Usage is replicated to the first VM of each data centre in that
 * order, which decides from memory when its data centre is partitioned from the others, and to the
 * VMs that replace it if it stops or crashes meanwhile. Used on one event loop.
 */
final class AllowanceService implements TokenBudgets {

  /** VMs of this data centre that are tried after the first VM overall and hold the usage. */
  private static final int LOCAL_CANDIDATES = 2;

  /** Size of the cache of programs with a spent budget; covers some hours at current load. */
  private static final int MAX_EXHAUSTED_PROGRAMS = 10_000;

  /** Time that a busy VM may take to reply, apart from the holder's wait for the store. */
  private static final long PEER_DELAY_MS = 150;

  /**
   * A VM that is unreachable for longer than this, more than a usual network partition lasts, is
   * assumed not to return with its slices.
   */
  private static final long HOLDER_LOST_AFTER_MS = 10_000;

  /** Separates the VM's name from a suffix, unique for each start, in the name of a holder. */
  static final String HOLDER_SEPARATOR = "/";

  private static final long REQUEST_TIMEOUT_MS =
      AllowanceHolder.DECISION_TIMEOUT_MS + PEER_DELAY_MS;

  /** VMs of each other data centre that a restarted VM asks for the use that they remember. */
  private static final int WITNESSES_PER_DATA_CENTRE = 2;

  /** VMs of this data centre that a restarted VM asks; all of them hold the notes of an outage. */
  private static final int LOCAL_WITNESSES = 6;

  private static final Verdict[] VERDICTS = Verdict.values();
  private static final Mode[] MODES = Mode.values();

  private final VmEntry self;
  private final VmDirectory vmDirectory;
  private final PeerConnections peers;
  private final UsageRecovery recovery;
  private final IntFunction<AllowanceHolder> holderFactory;
  private final Map<Integer, AllowanceHolder> holders = new HashMap<>();
  private final int partitions;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final Map<Integer, List<VmEntry>> rankings = new HashMap<>();
  private long rankedAtRevision = -1;
  private boolean draining;
  private final Set<String> exhaustedPrograms =
      Collections.newSetFromMap(
          new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
              return size() > MAX_EXHAUSTED_PROGRAMS;
            }
          });

  /** The partitions of the budgets, and how this VM's view of one is created. */
  record Partitions(int count, IntFunction<AllowanceHolder> holderFactory) {}

  AllowanceService(
      VmEntry self,
      VmDirectory vmDirectory,
      PeerConnections peers,
      UsageRecovery recovery,
      Partitions partitions,
      DecisionLog log,
      GatewayMetrics metrics) {
    this.self = self;
    this.vmDirectory = vmDirectory;
    this.peers = peers;
    this.recovery = recovery;
    this.holderFactory = partitions.holderFactory();
    this.partitions = Math.max(1, partitions.count());
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public Future<Reservation> reserve(String program, long budgetTokens, long turnTokens) {
    Turn turn = new Turn(program, budgetTokens, turnTokens);
    if (exhaustedPrograms.contains(program)) {
      return Future.succeededFuture(reservation(Verdict.EXHAUSTED, turn, self, budgetTokens));
    }
    return reserveAtCandidates(candidates(program), 0, turn, Mode.RECORDED)
        .onSuccess(reservation -> recordResult(reservation, budgetTokens));
  }

  /** Records that a program has spent its budget. */
  void markExhausted(String program) {
    exhaustedPrograms.add(program);
  }

  private record Turn(String program, long budgetTokens, long turnTokens) {}

  @Override
  public void settle(Reservation reservation, long deliveredTokens) {
    if (reservation.holder().isPresent()) {
      peers.sendNotification(
          reservation.holder().get(),
          new PeerMessage.AllowanceSettlement(
              reservation.program(), reservation.reservedTokens(), deliveredTokens));
    } else {
      settleLocally(reservation.program(), reservation.reservedTokens(), deliveredTokens);
    }
  }

  /** Applies the usage of a program's budget that another VM reports. */
  void onUsageNote(PeerMessage.UsageNote note) {
    holderOf(note.program()).onUsageNote(note);
  }

  /** Returns the name of another holder that may have unspent tokens of the program. */
  Optional<String> localOtherSliceHolder(String program) {
    return holderOf(program).otherSliceHolder(program);
  }

  /** Returns the tokens that this VM knows to be used of a program's budget. */
  long localUsedTokens(String program) {
    return holderOf(program).usedTokens(program);
  }

  /**
   * Records turns that were granted without a record, and loads the partitions for which this VM
   * may have to decide while the store is unavailable.
   */
  void maintain() {
    for (int partition = 0; partition < partitions; partition++) {
      if (localCandidates(partition, LOCAL_CANDIDATES).contains(self)) {
        holderOf(partition).ensureLoaded();
      }
    }
    holders.forEach(
        (partition, holder) -> {
          holder.recordUnrecordedTurns(this::hasEnded);
          if (!ranked(partition).get(0).equals(self)) {
            holder.releaseIdle();
          }
        });
  }

  private boolean hasEnded(String holder) {
    int end = holder.indexOf(HOLDER_SEPARATOR);
    if (end < 0) {
      return false;
    }
    VmId vm = new VmId(holder.substring(0, end));
    // Use that is not this start's own was left by an earlier start of this VM.
    if (vm.equals(self.vm())) {
      return true;
    }
    Optional<VmEntry> entry = vmDirectory.findIncludingDeparted(vm);
    if (entry.isEmpty()) {
      return false;
    }
    return !vmDirectory.isPresent(vm)
        || peers.unreachableForMs(entry.get().address()) > HOLDER_LOST_AFTER_MS;
  }

  int loadedPartitions() {
    return (int) holders.values().stream().filter(AllowanceHolder::isLoaded).count();
  }

  /**
   * Decides on a turn as the holder of its program's budget, and replicates the usage to the VMs
   * that may have to decide next.
   */
  Future<Verdict> reserveLocally(String program, long budgetTokens, long turnTokens, Mode mode) {
    if (exhaustedPrograms.contains(program)) {
      return Future.succeededFuture(Verdict.EXHAUSTED);
    }
    if (draining && mode != Mode.OWN_SLICE) {
      return Future.succeededFuture(Verdict.UNABLE);
    }
    Turn turn = new Turn(program, budgetTokens, turnTokens);
    if (mode == Mode.OWN_SLICE || !recovery.isNeeded(program)) {
      return decide(turn, mode);
    }
    AllowanceHolder holder = holderOf(program);
    return recovery
        .recover(program, budgetTokens, turnTokens, holder, witnesses(partitionOf(program)))
        .compose(
            known -> {
              holder.recordUnrecordedTurns(this::hasEnded);
              return known ? decide(turn, mode) : Future.succeededFuture(Verdict.UNABLE);
            });
  }

  private Future<Verdict> decide(Turn turn, Mode mode) {
    String program = turn.program();
    boolean mayUseMemory = mode == Mode.REMEMBERED || mode == Mode.BLIND;
    int deciders = mayUseMemory ? unawareDeciders() : 1;
    return holderOf(program)
        .reserve(program, turn.budgetTokens(), turn.turnTokens(), deciders, mode)
        .onSuccess(
            verdict -> {
              if (verdict == Verdict.GRANTED) {
                replicateUsage(program, mode);
              }
            });
  }

  /** Returns what this VM knows of the use of a program's budget. */
  PeerMessage.AllowanceReply history(PeerMessage.AllowanceRequest request) {
    return new PeerMessage.AllowanceReply(
        request.request(),
        request.program(),
        0,
        Verdict.UNABLE.name(),
        localUsedTokens(request.program()),
        localOtherSliceHolder(request.program()).orElse(""),
        holderOf(request.program()).unrecordedUse(request.program()),
        recovery.isRestarted(),
        recovery.startedInOutage());
  }

  /**
   * Returns the VMs that may remember turns that were granted from memory: the first ones of each
   * data centre, also those that came after a VM that has ended.
   */
  private List<VmEntry> witnesses(int partition) {
    Map<String, Integer> countByDataCentre = new HashMap<>();
    List<VmEntry> witnesses = new ArrayList<>();
    for (VmEntry vm : ranked(partition)) {
      boolean isLocal = vm.dataCentre().equals(self.dataCentre());
      int limit = isLocal ? LOCAL_WITNESSES : WITNESSES_PER_DATA_CENTRE;
      if (!vm.vm().equals(self.vm())
          && countByDataCentre.merge(vm.dataCentre(), 1, Integer::sum) <= limit) {
        witnesses.add(vm);
      }
    }
    return witnesses;
  }

  // Each data centre that cannot be reached may decide by itself.
  private int unawareDeciders() {
    Set<String> unreachable = new HashSet<>();
    for (VmEntry vm : vmDirectory.all()) {
      unreachable.add(vm.dataCentre());
    }
    for (VmEntry vm : vmDirectory.all()) {
      if (vm.vm().equals(self.vm()) || !peers.isUnreachable(vm.address())) {
        unreachable.remove(vm.dataCentre());
      }
    }
    unreachable.remove(self.dataCentre());
    return unreachable.size() + 1;
  }

  void settleLocally(String program, long reservedTokens, long deliveredTokens) {
    holderOf(program).settle(program, reservedTokens, deliveredTokens);
  }

  /** Restricts further grants to the slices that this VM already holds. */
  void beginDrain() {
    draining = true;
  }

  /** Releases unspent tokens; completes when they are released, or at the limit. */
  Future<Void> release(long limitMs) {
    draining = true;
    List<Future<Void>> released = new ArrayList<>();
    holders.values().forEach(holder -> released.add(holder.release(limitMs)));
    return Future.join(released).<Void>mapEmpty().otherwiseEmpty();
  }

  private Future<Reservation> reserveAtCandidates(
      List<VmEntry> candidates, int next, Turn turn, Mode mode) {
    if (exhaustedPrograms.contains(turn.program())) {
      return Future.succeededFuture(
          reservation(Verdict.EXHAUSTED, turn, self, turn.budgetTokens()));
    }
    if (next >= candidates.size()) {
      return switch (mode) {
        case RECORDED ->
            reserveAtCandidates(memoryDeciders(turn.program()), 0, turn, Mode.REMEMBERED);
        case REMEMBERED ->
            reserveAtCandidates(dataCentreDeciders(turn.program()), 0, turn, Mode.BLIND);
        default -> Future.succeededFuture(reservation(Verdict.UNABLE, turn, self, 0));
      };
    }
    VmEntry candidate = candidates.get(next);
    return reserveAt(candidate, turn, mode)
        .otherwise(e -> new HolderReply(reservation(Verdict.UNABLE, turn, candidate, 0), ""))
        .compose(
            reply ->
                switch (reply.reservation().verdict()) {
                  case UNABLE -> reserveAtCandidates(candidates, next + 1, turn, mode);
                  case EXHAUSTED -> reserveInExistingSlice(reply, candidate, turn, mode);
                  default -> Future.succeededFuture(reply.reservation());
                });
  }

  /** A VM's reply, with another holder that may have unspent tokens, else empty. */
  private record HolderReply(Reservation reservation, String otherSliceHolder) {}

  /**
   * Requests the tokens from another holder. The decider counts that holder's slice as spent, but
   * there may be unspent tokens in it, or it may just have released them. The budget counts as
   * exhausted only once that holder has none.
   */
  private Future<Reservation> reserveInExistingSlice(
      HolderReply exhaustedReply, VmEntry decider, Turn turn, Mode mode) {
    Optional<VmEntry> sliceHolder = vmOf(exhaustedReply.otherSliceHolder());
    if (sliceHolder.isEmpty()
        || sliceHolder.get().vm().equals(decider.vm())
        || peers.unreachableForMs(sliceHolder.get().address()) > HOLDER_LOST_AFTER_MS) {
      return Future.succeededFuture(exhaustedReply.reservation());
    }
    Reservation withheld = reservation(Verdict.WITHHELD, turn, sliceHolder.get(), 0);
    // A VM that has left the list has released its slices before it ended, if it could.
    boolean mayHaveReleased =
        mode == Mode.RECORDED && !vmDirectory.isPresent(sliceHolder.get().vm());
    if (peers.isUnreachable(sliceHolder.get().address())) {
      return mayHaveReleased
          ? reserveReleased(exhaustedReply, decider, turn, mode)
          : Future.succeededFuture(withheld);
    }
    return reserveAt(sliceHolder.get(), turn, Mode.OWN_SLICE)
        .transform(
            asked -> {
              if (asked.failed()) {
                return mayHaveReleased
                    ? reserveReleased(exhaustedReply, decider, turn, mode)
                    : Future.succeededFuture(withheld);
              }
              Reservation reply = asked.result().reservation();
              return switch (reply.verdict()) {
                case GRANTED -> Future.succeededFuture(reply);
                case EXHAUSTED -> reserveReleased(exhaustedReply, decider, turn, mode);
                default -> Future.succeededFuture(withheld);
              };
            });
  }

  // The other holder may have released its slice after the decider had read its record.
  private Future<Reservation> reserveReleased(
      HolderReply exhaustedReply, VmEntry decider, Turn turn, Mode mode) {
    if (mode != Mode.RECORDED) {
      return Future.succeededFuture(exhaustedReply.reservation());
    }
    return reserveAt(decider, turn, mode)
        .map(HolderReply::reservation)
        .map(
            again ->
                again.verdict() == Verdict.UNABLE
                    ? reservation(Verdict.WITHHELD, turn, decider, 0)
                    : again)
        .otherwise(e -> reservation(Verdict.WITHHELD, turn, decider, 0));
  }

  private Optional<VmEntry> vmOf(String holder) {
    int end = holder.indexOf(HOLDER_SEPARATOR);
    return end < 0
        ? Optional.empty()
        : vmDirectory.findIncludingDeparted(new VmId(holder.substring(0, end)));
  }

  private Future<HolderReply> reserveAt(VmEntry candidate, Turn turn, Mode mode) {
    if (candidate.vm().equals(self.vm())) {
      return reserveLocally(turn.program(), turn.budgetTokens(), turn.turnTokens(), mode)
          .map(
              verdict ->
                  new HolderReply(
                      reservation(verdict, turn, self, localUsedTokens(turn.program())),
                      localOtherSliceHolder(turn.program()).orElse("")));
    }
    long requestId = peers.nextRequestId();
    return peers
        .sendRequest(
            candidate.address(),
            requestId,
            new PeerMessage.AllowanceRequest(
                requestId, turn.program(), turn.budgetTokens(), turn.turnTokens(), mode.name()),
            REQUEST_TIMEOUT_MS)
        .map(
            message -> {
              PeerMessage.AllowanceReply reply = (PeerMessage.AllowanceReply) message;
              return new HolderReply(
                  reservation(parseVerdict(reply.verdict()), turn, candidate, reply.usedTokens()),
                  reply.granter());
            });
  }

  /** Returns the mode with the given name, or the strictest one if the name is unknown. */
  static Mode parseMode(String name) {
    for (Mode mode : MODES) {
      if (mode.name().equals(name)) {
        return mode;
      }
    }
    return Mode.RECORDED;
  }

  private static Verdict parseVerdict(String name) {
    for (Verdict verdict : VERDICTS) {
      if (verdict.name().equals(name)) {
        return verdict;
      }
    }
    return Verdict.UNABLE;
  }

  private Reservation reservation(Verdict verdict, Turn turn, VmEntry holder, long usedTokens) {
    Optional<HostPort> address =
        holder.vm().equals(self.vm()) ? Optional.empty() : Optional.of(holder.address());
    return new Reservation(verdict, turn.program(), turn.turnTokens(), usedTokens, address);
  }

  private void recordResult(Reservation reservation, long budgetTokens) {
    metrics.countReservation(reservation.verdict().name());
    if (reservation.verdict() == Verdict.EXHAUSTED
        && exhaustedPrograms.add(reservation.program())) {
      for (VmEntry vm : vmDirectory.all()) {
        if (!vm.vm().equals(self.vm())) {
          peers.sendNotification(
              vm.address(), new PeerMessage.BudgetExhausted(reservation.program()));
        }
      }
    }
    if (reservation.verdict() != Verdict.GRANTED) {
      log.line("turn_not_granted")
          .put("program", reservation.program())
          .put("verdict", reservation.verdict().name())
          .put("budget", budgetTokens)
          .put("turn", reservation.reservedTokens())
          .put("used", reservation.usedTokens())
          .put("holder", reservation.holder().map(HostPort::toString).orElse("self"))
          .write();
    }
  }

  // A decision from memory has no record, so its usage goes to all VMs of this data centre.
  private void replicateUsage(String program, Mode mode) {
    int maxLocal = mode == Mode.RECORDED ? LOCAL_CANDIDATES : Integer.MAX_VALUE;
    sendNote(holderOf(program).usageNote(program), maxLocal);
  }

  private void sendNote(PeerMessage.UsageNote note, int maxLocal) {
    int partition = partitionOf(note.program());
    Set<VmEntry> receivers = new LinkedHashSet<>(firstOfEachDataCentre(partition));
    receivers.addAll(localCandidates(partition, maxLocal));
    for (VmEntry receiver : receivers) {
      if (!receiver.vm().equals(self.vm())) {
        peers.sendNotification(receiver.address(), note);
      }
    }
  }

  /** Returns the first VM overall, then the first ones of this data centre. */
  private List<VmEntry> candidates(String program) {
    int partition = partitionOf(program);
    Set<VmEntry> candidates = new LinkedHashSet<>();
    candidates.add(ranked(partition).get(0));
    candidates.addAll(localCandidates(partition, LOCAL_CANDIDATES));
    return List.copyOf(candidates);
  }

  /** Returns the VMs that may decide from memory: the first of each data centre. */
  private List<VmEntry> dataCentreDeciders(String program) {
    return List.copyOf(firstOfEachDataCentre(partitionOf(program)));
  }

  /** Returns the VMs that may decide from memory, and their replacements in this data centre. */
  private List<VmEntry> memoryDeciders(String program) {
    int partition = partitionOf(program);
    Set<VmEntry> deciders = new LinkedHashSet<>(firstOfEachDataCentre(partition));
    deciders.addAll(localCandidates(partition, Integer.MAX_VALUE));
    return List.copyOf(deciders);
  }

  private List<VmEntry> localCandidates(int partition, int limit) {
    List<VmEntry> local = new ArrayList<>();
    for (VmEntry vm : ranked(partition)) {
      if (vm.dataCentre().equals(self.dataCentre()) && local.size() < limit) {
        local.add(vm);
      }
    }
    return local;
  }

  private Collection<VmEntry> firstOfEachDataCentre(int partition) {
    Map<String, VmEntry> first = new LinkedHashMap<>();
    for (VmEntry vm : ranked(partition)) {
      first.putIfAbsent(vm.dataCentre(), vm);
    }
    return first.values();
  }

  // Cached: ranking a hundred VMs for each turn and partition costs more than serving the turn.
  private List<VmEntry> ranked(int partition) {
    long revision = vmDirectory.revision() + peers.revision();
    if (revision != rankedAtRevision) {
      rankings.clear();
      rankedAtRevision = revision;
    }
    return rankings.computeIfAbsent(partition, this::rank);
  }

  private List<VmEntry> rank(int partition) {
    Map<VmId, VmEntry> reachable = new HashMap<>();
    for (VmEntry vm : vmDirectory.all()) {
      if (!peers.isUnreachable(vm.address())) {
        reachable.put(vm.vm(), vm);
      }
    }
    reachable.put(self.vm(), self);
    List<VmEntry> ranked = new ArrayList<>();
    for (VmId vm :
        RendezvousHashing.ranked(RendezvousHashing.allowanceKey(partition), reachable.keySet())) {
      ranked.add(reachable.get(vm));
    }
    return ranked;
  }

  private AllowanceHolder holderOf(String program) {
    return holderOf(partitionOf(program));
  }

  private AllowanceHolder holderOf(int partition) {
    return holders.computeIfAbsent(
        partition,
        number -> {
          AllowanceHolder holder = holderFactory.apply(number);
          holder.setRecordListener(note -> sendNote(note, Integer.MAX_VALUE));
          return holder;
        });
  }

  private int partitionOf(String program) {
    return (int) Math.floorMod(Hashing.fnv1a64(program), (long) partitions);
  }
}
