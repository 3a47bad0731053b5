package io.magnoliaroute.core.config;

import io.magnoliaroute.core.settings.Branch;
import io.magnoliaroute.core.settings.BranchName;
import io.magnoliaroute.core.settings.Finding;
import io.magnoliaroute.core.settings.ParseResult;
import io.magnoliaroute.core.settings.PoolKind;
import io.magnoliaroute.core.settings.PoolSettings;
import io.magnoliaroute.core.settings.SettingsParser;
import io.magnoliaroute.core.settings.SettingsTree;
import io.magnoliaroute.core.settings.Severity;
import io.magnoliaroute.core.settings.TeamSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The settings as determined by the order of the {@code config} stream, and the effective settings:
 * the newest version of each branch received from the log or from peers.
 *
 * <p>Records must be applied in offset order. A reader that starts after offset 0 calls {@link
 * #startReadingFrom} first and {@link #markCaughtUp} when it has read to the end of the stream for
 * the first time. Until then records are deferred, because branches older than the first offset are
 * known only after the snapshots have been read. Not thread-safe.
 */
public final class ConfigState {

  /** The version of a branch that never existed. */
  public static final long ABSENT_VERSION = -1;

  private final EffectiveTree effective = new EffectiveTree();
  private final Map<BranchName, Long> lastSnapshotMs = new HashMap<>();
  private final List<DeferredRecord> deferred = new ArrayList<>();
  private final Map<BranchName, BranchEntry> baseline = new HashMap<>();
  private final PastDecisions pastDecisions = new PastDecisions();
  private LoggedTree logged = new LoggedTree();
  private long firstOffset;
  private long lastOffset = -1;
  private long completeThrough = ABSENT_VERSION;
  private boolean caughtUp = true;

  private record DeferredRecord(long offset, ConfigRecord configRecord) {}

  /**
   * Starts reading the stream at the given offset, the first one that the log retains.
   *
   * <p>Must be called again if the VM was paused for longer than the retention. The effective
   * settings are kept.
   */
  public void startReadingFrom(long firstRetainedOffset) {
    logged = new LoggedTree();
    deferred.clear();
    baseline.clear();
    pastDecisions.clear();
    firstOffset = firstRetainedOffset;
    lastOffset = firstRetainedOffset - 1;
    caughtUp = firstRetainedOffset <= 0;
  }

  /**
   * Applies the deferred records after the end of the stream was reached for the first time.
   *
   * @return the branches whose effective version changed
   */
  public Set<BranchName> markCaughtUp() {
    if (caughtUp) {
      return Set.of();
    }
    caughtUp = true;
    Set<BranchName> changed = new TreeSet<>();
    for (BranchEntry entry : effective.all()) {
      addToBaseline(entry);
      pastDecisions.addHistory(entry, entry.version());
    }
    for (BranchEntry entry : baseline.values()) {
      applyIfNewer(entry, changed);
    }
    for (DeferredRecord item : deferred) {
      decide(item.offset(), item.configRecord(), changed);
    }
    deferred.clear();
    baseline.clear();
    pastDecisions.clear();
    advanceCompleteThrough();
    return changed;
  }

  /** Returns whether the end of the stream was reached, so that records are decided immediately. */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /** Applies one record and returns the verdict. A record at an offset already read is ignored. */
  public ConfigVerdict apply(long offset, ConfigRecord configRecord) {
    if (offset <= lastOffset) {
      return new ConfigVerdict(ConfigVerdict.Kind.NOT_NEEDED, ABSENT_VERSION, List.of());
    }
    lastOffset = offset;
    if (!caughtUp) {
      defer(offset, configRecord);
      return new ConfigVerdict(ConfigVerdict.Kind.DEFERRED, ABSENT_VERSION, List.of());
    }
    ConfigVerdict verdict = decide(offset, configRecord, new TreeSet<>());
    advanceCompleteThrough();
    return verdict;
  }

  private void defer(long offset, ConfigRecord configRecord) {
    deferred.add(new DeferredRecord(offset, configRecord));
    if (configRecord instanceof ConfigRecord.Snapshot snapshot) {
      // An older snapshot does not reflect the expired records between it and the first offset.
      boolean reachesFirst = snapshot.asOfOffset() >= firstOffset - 1;
      for (BranchEntry entry : snapshot.entries()) {
        if (reachesFirst) {
          addToBaseline(entry);
        }
        pastDecisions.addHistory(entry, snapshot.asOfOffset());
      }
    }
  }

  /** Adds an entry to the baseline, the state before the first offset, if it took effect there. */
  private void addToBaseline(BranchEntry entry) {
    if (entry.version() < firstOffset) {
      baseline.merge(
          entry.branch(),
          entry,
          (current, other) -> other.version() > current.version() ? other : current);
    }
  }

  private ConfigVerdict decide(long offset, ConfigRecord configRecord, Set<BranchName> changed) {
    if (configRecord instanceof ConfigRecord.Published published) {
      return publish(offset, published, changed);
    }
    ConfigRecord.Snapshot snapshot = (ConfigRecord.Snapshot) configRecord;
    boolean newer = false;
    for (BranchEntry entry : snapshot.entries()) {
      if (entry.version() < offset) {
        newer |= applyIfNewer(entry, changed);
        lastSnapshotMs.merge(entry.branch(), snapshot.timeMs(), Math::max);
      }
    }
    ConfigVerdict.Kind kind = newer ? ConfigVerdict.Kind.ACCEPTED : ConfigVerdict.Kind.NOT_NEEDED;
    return new ConfigVerdict(kind, logged.highestVersion(), List.of());
  }

  /** Applies an entry if its version is higher than the current one. */
  private boolean applyIfNewer(BranchEntry entry, Set<BranchName> changed) {
    if (entry.version() <= logged.version(entry.branch())) {
      return false;
    }
    Optional<Branch> content = parse(entry);
    logged.put(entry, content);
    updateEffective(entry, content, changed);
    return true;
  }

  private static Optional<Branch> parse(BranchEntry entry) {
    return entry
        .content()
        .flatMap(
            yaml ->
                SettingsParser.parseBranch(entry.branch().value(), entry.branch(), yaml).value());
  }

  private void updateEffective(
      BranchEntry entry, Optional<Branch> content, Set<BranchName> changed) {
    if (effective.updateIfNewer(entry, content)) {
      changed.add(entry.branch());
    }
  }

  private ConfigVerdict publish(
      long offset, ConfigRecord.Published published, Set<BranchName> changed) {
    BranchName branch = published.branch();
    long current = logged.version(branch);
    Optional<BranchVersion> duplicate = findDuplicate(published);
    if (duplicate.isPresent()) {
      return new ConfigVerdict(ConfigVerdict.Kind.DUPLICATE, duplicate.get().version(), List.of());
    }
    Optional<Boolean> decided = knownDecision(branch, offset);
    if (decided.isPresent()) {
      return decided.get()
          ? accept(offset, published, parseUnchecked(published), changed)
          : new ConfigVerdict(ConfigVerdict.Kind.CONFLICT, current, List.of());
    }
    if (published.baseVersion() != current) {
      return new ConfigVerdict(ConfigVerdict.Kind.CONFLICT, current, List.of());
    }
    ParseResult<Branch> checked = validate(branch, published.content());
    if (checked.hasErrors()) {
      return new ConfigVerdict(ConfigVerdict.Kind.INVALID, current, checked.findings());
    }
    return accept(offset, published, checked, changed);
  }

  private ConfigVerdict accept(
      long offset,
      ConfigRecord.Published published,
      ParseResult<Branch> checked,
      Set<BranchName> changed) {
    BranchName branch = published.branch();
    BranchEntry entry = new BranchEntry(branch, published.content(), history(offset, published));
    logged.put(entry, checked.value());
    // A publication does not count as a snapshot: a later reader that lacks its base version cannot
    // decide on it. Only the first one of a branch sets the time.
    lastSnapshotMs.putIfAbsent(branch, published.timeMs());
    updateEffective(entry, checked.value(), changed);
    return new ConfigVerdict(ConfigVerdict.Kind.ACCEPTED, offset, checked.findings());
  }

  /** Parses accepted content without checking references, whose branches this reader may lack. */
  private static ParseResult<Branch> parseUnchecked(ConfigRecord.Published published) {
    BranchName branch = published.branch();
    return published
        .content()
        .map(yaml -> SettingsParser.parseBranch(branch.value(), branch, yaml))
        .orElse(new ParseResult<>(Optional.empty(), List.of()));
  }

  /**
   * Returns whether readers of the complete log accepted the publication, if this is known from a
   * snapshot or from the history of a branch that a peer sent or that this VM had before it reread
   * the log.
   */
  private Optional<Boolean> knownDecision(BranchName branch, long offset) {
    boolean inHistory =
        effective.get(branch).stream()
            .flatMap(entry -> entry.history().stream())
            .anyMatch(version -> version.version() == offset);
    return inHistory ? Optional.of(true) : pastDecisions.wasAccepted(branch, offset);
  }

  private Optional<BranchVersion> findDuplicate(ConfigRecord.Published published) {
    return logged
        .get(published.branch())
        .flatMap(
            current ->
                current.entry().history().stream()
                    .filter(version -> version.recordId().equals(published.recordId()))
                    .findFirst());
  }

  private List<BranchVersion> history(long offset, ConfigRecord.Published published) {
    List<BranchVersion> history = new ArrayList<>();
    history.add(
        new BranchVersion(offset, published.author(), published.timeMs(), published.recordId()));
    logged.get(published.branch()).ifPresent(current -> history.addAll(current.entry().history()));
    return history.subList(0, Math.min(history.size(), BranchEntry.MAX_HISTORY_VERSIONS));
  }

  /**
   * Validates new content of a branch against the settings in log order.
   *
   * @param content the YAML, or empty to validate a deletion
   */
  public ParseResult<Branch> validate(BranchName branch, Optional<String> content) {
    if (content.isEmpty()) {
      return new ParseResult<>(Optional.empty(), validateDeletion(branch));
    }
    ParseResult<Branch> parsed =
        SettingsParser.parseBranch(branch.value(), branch, content.get(), logged);
    List<Finding> findings = new ArrayList<>(parsed.findings());
    if (parsed.value().orElse(null) instanceof PoolSettings pool
        && pool.kind() != PoolKind.SERVICE) {
      findings.addAll(dependentTeamFindings(branch));
    }
    boolean refused = findings.stream().anyMatch(Finding::isError);
    return new ParseResult<>(refused ? Optional.empty() : parsed.value(), findings);
  }

  private List<Finding> validateDeletion(BranchName branch) {
    if (logged.get(branch).filter(current -> !current.entry().isDeleted()).isEmpty()) {
      return List.of(error(branch, branch.value(), "does not exist"));
    }
    return switch (branch.kind()) {
      case POOL -> dependentTeamFindings(branch);
      default -> List.of();
    };
  }

  private List<Finding> dependentTeamFindings(BranchName branch) {
    return logged.teamsUsing(branch.pool()).stream()
        .map(team -> error(branch, branch.value(), "is the service of a tool rule of team " + team))
        .toList();
  }

  private static Finding error(BranchName branch, String path, String message) {
    return new Finding(branch.value(), 0, path, message, Severity.ERROR);
  }

  private void advanceCompleteThrough() {
    completeThrough = Math.max(completeThrough, logged.highestVersion());
  }

  /**
   * Applies a push from a peer.
   *
   * <p>Versions never decrease, so late, duplicate and out-of-order pushes are harmless.
   *
   * @return the branches whose effective version changed
   */
  public Set<BranchName> applyPush(ConfigPush push) {
    Set<BranchName> changed = new TreeSet<>();
    for (BranchEntry entry : push.entries()) {
      if (entry.version() > effective.version(entry.branch())) {
        updateEffective(entry, parse(entry), changed);
      }
    }
    if (push.newerThanVersion() <= completeThrough) {
      completeThrough = Math.max(completeThrough, push.throughVersion());
    }
    return changed;
  }

  /** Returns the effective settings. */
  public SettingsTree effectiveSettings() {
    return effective.tree();
  }

  /** Returns the version up to which this VM has every branch; VMs announce it in their probes. */
  public long version() {
    return completeThrough;
  }

  /** Returns the effective version of a branch with its history, including deleted branches. */
  public Optional<BranchEntry> branch(BranchName name) {
    return effective.get(name);
  }

  /** Returns the effective branches in no particular order, including deleted ones. */
  public List<BranchEntry> branches() {
    return List.copyOf(effective.all());
  }

  /** Returns the effective version of the team's branch. */
  public long versionOf(TeamSettings team) {
    return effective.version(BranchName.of(team.id()));
  }

  /** Returns the offset of the last record that is reflected in the branches by log order. */
  long lastOffset() {
    return lastOffset;
  }

  /** Returns the latest branches known from the log with the time of the last snapshot of each. */
  List<BranchAge> branchAges() {
    List<BranchAge> branches = new ArrayList<>();
    for (LoggedTree.ParsedBranch branch : logged.all()) {
      long snapshotMs = lastSnapshotMs.getOrDefault(branch.entry().branch(), Long.MIN_VALUE);
      branches.add(new BranchAge(branch.entry(), snapshotMs));
    }
    return branches;
  }

  /** A branch with the time of its last snapshot, or of its first publication if there is none. */
  record BranchAge(BranchEntry entry, long lastSnapshotMs) {}
}
